#ifndef CAMPHORHOIST_RATE_LIMIT_H_
#define CAMPHORHOIST_RATE_LIMIT_H_

#include <chrono>
#include <cstddef>
#include <optional>

namespace camphorhoist {

/// Token bucket for the requests to one server that has named the rate it accepts. Without a rate
/// it permits every request.
///
/// Reads no clock. Thread safety: none; use from one thread.
class RateLimit {
 public:
  using Time = std::chrono::steady_clock::time_point;
  using Duration = std::chrono::microseconds;

  /// Capacity of the bucket, in seconds of the rate; at least one request.
  static constexpr double kBurstSeconds = 0.5;
  /// A server is still sent this many requests a second if it names a lower rate, since only its
  /// responses can raise the rate again.
  static constexpr double kMinPerSecond = 0.5;

  /// Sets the requests a second that the server accepts; nullopt if it accepts any number. The
  /// bucket of a server that names its first rate is full.
  void Set(Time now, std::optional<double> per_second);
  /// Time between two requests at the rate in force; 0 without a rate.
  Duration interval() const;
  bool HasPermit(Time now) const;
  /// Takes a permit for a request that is sent now. Without a permit, the request counts against
  /// later ones.
  void Take(Time now);
  /// Time until a request can be sent that waits behind `ahead` others.
  Duration Wait(Time now, size_t ahead) const;

 private:
  double PermitsAt(Time now) const;
  double Capacity() const;

  std::optional<double> per_second_;
  /// Permits in the bucket at `updated_at_`; negative if more requests were sent than permitted.
  double permits_ = 0;
  Time updated_at_{};
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_RATE_LIMIT_H_
