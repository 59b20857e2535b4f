#ifndef CAMPHORHOIST_CAMPHORHOIST_LOAD_GENERATOR_H_
#define CAMPHORHOIST_CAMPHORHOIST_LOAD_GENERATOR_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "camphorhoist_load/arrivals.h"
#include "camphorhoist_load/result.h"
#include "camphorhoist_load/settings.h"
#include "libbase/event_ptr.h"
#include "libupstream/upstream_client.h"

namespace camphorhoist {

/// Open-loop request generator: sends the requests of a run at their scheduled times, regardless of
/// the results of earlier ones.
///
/// Thread safety: none; use on the thread of the event loop.
class Generator {
 public:
  /// `done` is called when every request has a result. Precondition: `base` and `settings` outlive
  /// the generator.
  Generator(event_base* base, const LoadSettings& settings, std::function<void()> done);
  ~Generator();

  void Start();
  /// Stops sending. Requests without a result get the outcome "unfinished".
  void Stop();

  const std::vector<RequestResult>& results() const { return results_; }
  /// Time from the start to the last result.
  std::chrono::microseconds elapsed() const { return elapsed_; }

 private:
  class Request;

  void SendDueRequests();
  void Send(const Arrival& arrival);
  void Finish(Request* request, RequestResult result);
  void NotifyIfDone();
  std::chrono::microseconds Now() const;

  const LoadSettings& settings_;
  std::function<void()> done_;
  std::string key_prefix_;
  ArrivalSchedule schedule_;
  std::optional<Arrival> next_arrival_;
  std::mt19937_64 mix_random_;
  std::discrete_distribution<size_t> shape_distribution_;
  std::uniform_int_distribution<size_t> target_distribution_;
  std::chrono::steady_clock::time_point started_;
  std::chrono::microseconds elapsed_{0};
  std::vector<RequestResult> results_;
  Timer send_timer_;
  Timer drain_timer_;
  std::vector<std::unique_ptr<UpstreamClient>> clients_;
  std::map<Request*, std::unique_ptr<Request>> requests_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOIST_LOAD_GENERATOR_H_
