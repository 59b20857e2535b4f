#ifndef CAMPHORHOIST_LIBSIDECAR_CALLERS_CALLER_MEMORY_H_
#define CAMPHORHOIST_LIBSIDECAR_CALLERS_CALLER_MEMORY_H_

#include <chrono>
#include <cstddef>
#include <utility>

#include "camphorhoist/memory_budget.h"

namespace camphorhoist {

/// What is held for one connection of a caller, as reserved in the budget of the process.
///
/// Thread safety: none; use on the thread of the event loop.
class CallerMemory {
 public:
  /// A body exists up to three times while it is forwarded: in the call, in the offer, and in the
  /// buffer of the connection to the server.
  static constexpr size_t kBodyCopies = 3;
  /// Reservations are rounded up to this, so that short requests seldom change them.
  static constexpr size_t kStepBytes = 16 << 10;

  /// Takes over an open connection of the budget. Precondition: `budget` outlives this object.
  CallerMemory(MemoryBudget* budget, MemoryBudget::ConnectionId id) : budget_(budget), id_(id) {}
  ~CallerMemory() { Close(); }
  CallerMemory(const CallerMemory&) = delete;
  CallerMemory& operator=(const CallerMemory&) = delete;

  void Close() { budget_->Close(id_); }

  /// Sets the number of bytes held for the request that is being read. Returns false if there is no
  /// room.
  bool SetRequest(size_t bytes) { return Set(&request_, bytes); }
  /// Sets the number of bytes of responses that have not been sent completely, and of requests that
  /// were read ahead. Return false if there is no room.
  bool SetOutput(size_t bytes) { return Set(&output_, bytes); }
  bool SetReadAhead(size_t bytes) { return Set(&read_ahead_, bytes); }
  /// The request that was read is now being processed. Returns the bytes to pass to `EndCall`.
  size_t BeginCall() {
    calls_ += request_;
    return std::exchange(request_, 0);
  }
  void EndCall(size_t bytes) { Set(&calls_, calls_ - bytes); }

  /// Whether a request that needs `bytes` would be accepted without other load.
  bool CanEverFit(size_t bytes) const {
    return budget_->CanEverFit(ListenAddress::kCallers, bytes);
  }
  /// The connection waits for the caller to send or to read.
  void StartWaiting() { budget_->StartWaiting(id_, std::chrono::steady_clock::now()); }
  void StopWaiting() { budget_->StopWaiting(id_); }
  void OnTransfer(size_t bytes) { budget_->OnTransfer(id_, bytes); }
  /// The budget has evicted the connection and released its reservation. Precondition: no call is
  /// being processed.
  void OnEvicted() { request_ = output_ = read_ahead_ = reserved_ = 0; }

 private:
  bool Set(size_t* part, size_t bytes) {
    *part = bytes;
    const size_t total = request_ + calls_ + output_ + read_ahead_;
    // The reservation of an open connection covers a short request.
    const size_t wanted = total <= MemoryBudget::kConnectionBytes
                              ? 0
                              : (total + kStepBytes - 1) / kStepBytes * kStepBytes;
    if (wanted == reserved_) return true;
    if (!budget_->Reserve(id_, wanted, std::chrono::steady_clock::now())) return false;
    reserved_ = wanted;
    return true;
  }

  MemoryBudget* budget_;
  MemoryBudget::ConnectionId id_;
  size_t request_ = 0;
  size_t calls_ = 0;
  size_t output_ = 0;
  size_t read_ahead_ = 0;
  size_t reserved_ = 0;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_CALLERS_CALLER_MEMORY_H_
