#include "camphorhoist/memory_budget.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace camphorhoist {

namespace {

constexpr size_t kUnlimited = SIZE_MAX;

size_t Share(double share, size_t total) {
  return static_cast<size_t>(share * static_cast<double>(total));
}

bool IsControl(ListenAddress address) {
  return address != ListenAddress::kCallers && address != ListenAddress::kPeers;
}

bool IsLarge(size_t bytes) {
  return bytes > MemoryBudget::kConnectionBytes + MemoryBudget::kSmallBytes;
}

}  // namespace

size_t MemoryBudget::MaxConnections(ListenAddress address) const {
  if (limits_.max_descriptors == 0) return kUnlimited;
  const size_t usable =
      limits_.max_descriptors - std::min(limits_.max_descriptors, kOwnDescriptors);
  const double share = IsControl(address)                   ? kControlDescriptorShare
                       : address == ListenAddress::kCallers ? kCallerDescriptorShare
                                                            : kPeerDescriptorShare;
  return std::max<size_t>(1, Share(share, usable));
}

size_t MemoryBudget::MaxBytes(ListenAddress address, bool large) const {
  if (limits_.memory_bytes == 0) return kUnlimited;
  const size_t total = Share(kMemoryShare, limits_.memory_bytes);
  if (IsControl(address)) return Share(kControlMemoryShare, total);
  return large ? Share(kLargeShare, total) : total;
}

void MemoryBudget::Totals::Remove(const Connection& connection, ListenAddress of) {
  all -= connection.bytes;
  if (IsLarge(connection.bytes)) large -= connection.bytes;
  if (connection.address == of) address -= connection.bytes;
}

MemoryBudget::Totals MemoryBudget::TotalsWithout(const Connection& connection) const {
  Totals totals{used_bytes_, large_bytes_, at(connection.address).bytes};
  totals.Remove(connection, connection.address);
  return totals;
}

bool MemoryBudget::Fits(const Totals& others, ListenAddress address, size_t bytes) const {
  if (limits_.memory_bytes == 0) return true;
  const auto fits = [bytes](size_t used, size_t max) { return used <= max && bytes <= max - used; };
  if (!fits(others.all, MaxBytes(ListenAddress::kCallers, false))) return false;
  if (IsControl(address)) return fits(others.address, MaxBytes(address, false));
  return !IsLarge(bytes) || fits(others.large, MaxBytes(address, true));
}

bool MemoryBudget::CanEverFit(ListenAddress address, size_t bytes) const {
  return bytes <= MaxBytes(address, true) - std::min(MaxBytes(address, true), kConnectionBytes);
}

bool MemoryBudget::IsSlow(const Connection& connection, ProxyTime now) const {
  if (!connection.waiting_since) return false;
  const auto waited = now - *connection.waiting_since - kGracePeriod;
  if (waited <= waited.zero()) return false;
  const double seconds = std::chrono::duration<double>(waited).count();
  return static_cast<double>(connection.transferred) < seconds * kMinBytesPerSecond;
}

std::optional<MemoryBudget::ConnectionId> MemoryBudget::Open(ListenAddress address, ProxyTime now,
                                                             Evict evict) {
  if (at(address).connections >= MaxConnections(address) && !EvictLongestWaiting(address)) {
    return std::nullopt;
  }
  const ConnectionId id = next_id_++;
  Connection& connection = connections_[id];
  connection.address = address;
  connection.evict = std::move(evict);
  connection.waiting_since = now;
  ++at(address).connections;
  if (Reserve(id, 0, now)) return id;
  Close(id);
  return std::nullopt;
}

void MemoryBudget::Close(ConnectionId id) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  const Connection& connection = it->second;
  --at(connection.address).connections;
  at(connection.address).bytes -= connection.bytes;
  used_bytes_ -= connection.bytes;
  if (IsLarge(connection.bytes)) large_bytes_ -= connection.bytes;
  connections_.erase(it);
}

bool MemoryBudget::Reserve(ConnectionId id, size_t bytes, ProxyTime now) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return false;
  Connection& connection = it->second;
  const size_t wanted =
      bytes > kUnlimited - kConnectionBytes ? kUnlimited : bytes + kConnectionBytes;
  const bool fits = wanted <= connection.bytes ||
                    Fits(TotalsWithout(connection), connection.address, wanted) ||
                    MakeRoom(id, wanted, now);
  if (fits) Resize(&connection, wanted);
  return fits;
}

void MemoryBudget::Resize(Connection* connection, size_t bytes) {
  Usage& usage = at(connection->address);
  usage.bytes = usage.bytes - connection->bytes + bytes;
  used_bytes_ = used_bytes_ - connection->bytes + bytes;
  if (IsLarge(connection->bytes)) large_bytes_ -= connection->bytes;
  if (IsLarge(bytes)) large_bytes_ += bytes;
  connection->bytes = bytes;
}

bool MemoryBudget::MakeRoom(ConnectionId id, size_t bytes, ProxyTime now) {
  const Connection& connection = connections_.at(id);
  std::vector<std::pair<size_t, ConnectionId>> slow;
  for (const auto& [other_id, other] : connections_) {
    const bool useful = !IsControl(connection.address) || other.address == connection.address;
    if (other_id != id && useful && IsSlow(other, now)) slow.emplace_back(other.bytes, other_id);
  }
  std::sort(slow.rbegin(), slow.rend());
  Totals totals = TotalsWithout(connection);
  size_t count = 0;
  while (count < slow.size() && !Fits(totals, connection.address, bytes)) {
    totals.Remove(connections_.at(slow[count].second), connection.address);
    ++count;
  }
  if (!Fits(totals, connection.address, bytes)) return false;
  slow.resize(count);
  for (const auto& it : slow) {
    const auto other = connections_.find(it.second);
    if (other == connections_.end()) continue;
    Resize(&other->second, kConnectionBytes);
    other->second.waiting_since.reset();
    ++evictions_;
    const Evict evict = other->second.evict;
    evict(Reason::kMemory);
  }
  return Fits(TotalsWithout(connection), connection.address, bytes);
}

bool MemoryBudget::EvictLongestWaiting(ListenAddress address) {
  const Connection* longest = nullptr;
  ConnectionId longest_id = 0;
  for (const auto& [id, connection] : connections_) {
    if (connection.address != address || !connection.waiting_since) continue;
    if (longest != nullptr && *longest->waiting_since <= *connection.waiting_since) continue;
    longest = &connection;
    longest_id = id;
  }
  if (longest == nullptr) return false;
  const Evict evict = longest->evict;
  Close(longest_id);
  ++evictions_;
  evict(Reason::kDescriptors);
  return true;
}

void MemoryBudget::StartWaiting(ConnectionId id, ProxyTime now) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  it->second.waiting_since = now;
  it->second.transferred = 0;
}

void MemoryBudget::OnTransfer(ConnectionId id, size_t bytes) {
  const auto it = connections_.find(id);
  if (it != connections_.end()) it->second.transferred += bytes;
}

void MemoryBudget::StopWaiting(ConnectionId id) {
  const auto it = connections_.find(id);
  if (it != connections_.end()) it->second.waiting_since.reset();
}

}  // namespace camphorhoist
