#ifndef CAMPHORHOIST_MEMORY_BUDGET_H_
#define CAMPHORHOIST_MEMORY_BUDGET_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "camphorhoist/server_queue.h"

namespace camphorhoist {

/// Addresses at which a sidecar accepts connections.
enum class ListenAddress : uint8_t { kCallers, kPeers, kReadiness, kAnnouncements, kMetrics };

/// Limits of the VM. 0: no limit.
struct VmLimits {
  /// Memory of the VM.
  size_t memory_bytes = 0;
  /// Maximum number of open descriptors of the process.
  size_t max_descriptors = 0;

  friend bool operator==(const VmLimits& a, const VmLimits& b) {
    return a.memory_bytes == b.memory_bytes && a.max_descriptors == b.max_descriptors;
  }
  friend bool operator!=(const VmLimits& a, const VmLimits& b) { return !(a == b); }
};

/// Decides how much memory and how many descriptors the process uses for the connections that it
/// has accepted. What is held for a connection (a request that is being read or processed, unread
/// responses) is reserved here before it is stored. Without it, callers that send incomplete
/// requests or read no responses exhaust the memory of the VM.
///
/// Connections that wait for their client, and have been slower than `kMinBytesPerSecond` for more
/// than `kGracePeriod`, are evicted if others need their memory. If the descriptors of an address
/// are used up, the connection that has waited for its client longest is evicted.
///
/// Thread safety: none; use from one thread.
class MemoryBudget {
 public:
  using ConnectionId = uint64_t;
  enum class Reason : uint8_t {
    /// The request has to be discarded; the connection may be kept to send the rejection.
    kMemory,
    /// The connection has to be closed.
    kDescriptors,
  };
  /// Called when a connection is evicted. The budget has released its reservation before, and with
  /// `kDescriptors` its registration. The handler must not call the budget for other connections.
  using Evict = std::function<void(Reason)>;

  /// Share of the memory of the VM that all connections together may use. The rest is needed by the
  /// process itself, for responses that are being read from the server, and as the fragmentation of
  /// the heap.
  static constexpr double kMemoryShare = 0.65;
  /// Share of that for large reservations, so that small requests fit beside them.
  static constexpr double kLargeShare = 0.92;
  /// Largest reservation of a connection that does not count as large.
  static constexpr size_t kSmallBytes = 64 << 10;
  /// Share of that for each address of the control servers, whose messages are short.
  static constexpr double kControlMemoryShare = 0.04;
  /// Memory of an open connection besides its data: the event buffers and the parser.
  static constexpr size_t kConnectionBytes = 4 << 10;
  /// Memory of a header field besides its characters: two strings and the free capacity of their
  /// vector, and the same in the copy that is forwarded.
  static constexpr size_t kHeaderFieldBytes = 256;
  /// Descriptors that are kept for the listening sockets, the store, the log and the server.
  static constexpr size_t kOwnDescriptors = 32;
  /// Shares of the other descriptors. The rest is for connections to other sidecars.
  static constexpr double kCallerDescriptorShare = 0.35;
  static constexpr double kPeerDescriptorShare = 0.4;
  static constexpr double kControlDescriptorShare = 0.05;
  /// Slowest transfer of a client whose connection is not evicted. Callers are on the same VM, and
  /// the slowest links of VMs carry four times as much.
  static constexpr size_t kMinBytesPerSecond = 256 << 10;
  /// Time for a client to send the first byte that is awaited, or to start reading.
  static constexpr std::chrono::milliseconds kGracePeriod{1000};

  explicit MemoryBudget(const VmLimits& limits) : limits_(limits) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /// Registers an accepted connection. Returns empty if there is no room for it, and it has to be
  /// closed.
  std::optional<ConnectionId> Open(ListenAddress address, ProxyTime now, Evict evict);
  /// Releases everything that is reserved for a connection. Unknown ids are ignored.
  void Close(ConnectionId id);

  /// Sets the number of bytes that are held for a connection. Returns false, and changes nothing,
  /// if there is no room for more. Unknown ids have no room.
  bool Reserve(ConnectionId id, size_t bytes, ProxyTime now);
  /// Whether `bytes` would fit at this address if nothing else was reserved.
  bool CanEverFit(ListenAddress address, size_t bytes) const;

  /// The connection waits for its client, which has to send (the rest of) a request or to read a
  /// response.
  void StartWaiting(ConnectionId id, ProxyTime now);
  /// The client has sent or read `bytes`.
  void OnTransfer(ConnectionId id, size_t bytes);
  /// The connection does not wait for its client, and is not evicted.
  void StopWaiting(ConnectionId id);

  /// Bytes that are reserved for all connections, including `kConnectionBytes` of each.
  size_t used_bytes() const { return used_bytes_; }
  size_t connections(ListenAddress address) const { return at(address).connections; }
  /// Number of connections evicted so far.
  uint64_t evictions() const { return evictions_; }

 private:
  struct Connection {
    ListenAddress address = ListenAddress::kCallers;
    size_t bytes = 0;
    std::optional<ProxyTime> waiting_since;
    size_t transferred = 0;
    Evict evict;
  };
  struct Usage {
    size_t connections = 0;
    size_t bytes = 0;
  };
  static constexpr size_t kAddresses = 5;

  const Usage& at(ListenAddress address) const { return usage_[static_cast<size_t>(address)]; }
  Usage& at(ListenAddress address) { return usage_[static_cast<size_t>(address)]; }
  size_t MaxConnections(ListenAddress address) const;
  size_t MaxBytes(ListenAddress address, bool large) const;
  /// What is reserved, without the connection that is about to change.
  struct Totals {
    size_t all = 0;
    size_t large = 0;
    size_t address = 0;
    void Remove(const Connection& connection, ListenAddress of);
  };
  Totals TotalsWithout(const Connection& connection) const;
  bool Fits(const Totals& others, ListenAddress address, size_t bytes) const;
  bool IsSlow(const Connection& connection, ProxyTime now) const;
  /// Evicts slow connections, the largest first, until `bytes` fit for the connection `id`. Evicts
  /// none if they would not fit.
  bool MakeRoom(ConnectionId id, size_t bytes, ProxyTime now);
  void Resize(Connection* connection, size_t bytes);
  bool EvictLongestWaiting(ListenAddress address);

  VmLimits limits_;
  ConnectionId next_id_ = 1;
  std::map<ConnectionId, Connection> connections_;
  std::array<Usage, kAddresses> usage_{};
  size_t used_bytes_ = 0;
  /// Part of `used_bytes_` that belongs to large reservations.
  size_t large_bytes_ = 0;
  uint64_t evictions_ = 0;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_MEMORY_BUDGET_H_
