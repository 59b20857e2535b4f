#include "camphorhoist/call_ledger.h"

namespace camphorhoist {

CallLedger::CallLedger(size_t capacity, std::pmr::memory_resource* memory)
    : capacity_(capacity), entries_(memory), settled_(memory) {}

bool CallLedger::AddQueued(const CallId& id, CallTime now) {
  Expire(now);
  if (entries_.size() >= capacity_) return false;
  entries_.emplace(id, State::kQueued);
  return true;
}

void CallLedger::MarkRunning(const CallId& id) {
  const auto it = entries_.find(id);
  if (it != entries_.end()) it->second = State::kRunning;
}

void CallLedger::Settle(const CallId& id, State state, CallTime now) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) return;
  it->second = state;
  settled_.push_back({id, now});
}

bool CallLedger::Void(const CallId& id, CallTime now) {
  Expire(now);
  const auto it = entries_.find(id);
  if (it != entries_.end() && it->second == State::kVoided) return true;
  if (it == entries_.end()) {
    if (entries_.size() >= capacity_) return false;
    entries_.emplace(id, State::kQueued);
  }
  Settle(id, State::kVoided, now);
  return true;
}

std::optional<CallLedger::State> CallLedger::Find(const CallId& id) const {
  const auto it = entries_.find(id);
  if (it == entries_.end()) return std::nullopt;
  return it->second;
}

void CallLedger::Expire(CallTime now) {
  while (!settled_.empty() && now - settled_.front().at >= kRetention) {
    entries_.erase(settled_.front().id);
    settled_.pop_front();
  }
}

}  // namespace camphorhoist
