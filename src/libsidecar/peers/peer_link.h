#ifndef CAMPHORHOIST_LIBSIDECAR_PEERS_PEER_LINK_H_
#define CAMPHORHOIST_LIBSIDECAR_PEERS_PEER_LINK_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "camphorhoist/net_address.h"
#include "libsidecar/peers/frame_stream.h"

namespace camphorhoist {

/// Outgoing connection to another sidecar, reopened whenever it is lost.
///
/// Thread safety: none; use on the thread of the event loop. Handlers run on that thread; they must
/// not destroy the link.
class PeerLink {
 public:
  struct Handlers {
    /// Returns the hello to send when the connection opens.
    std::function<PeerHello()> hello;
    /// The peer's hello has arrived.
    std::function<void(const PeerHello&)> on_up;
    std::function<void(PeerMessage)> on_message;
    /// `refused`: the VM responds, but no process listens at the address.
    std::function<void(bool refused, const std::string& reason)> on_down;
    /// A frame of `bytes` is sent. May be empty.
    std::function<void(size_t bytes)> on_sent = nullptr;
  };

  static constexpr std::chrono::milliseconds kConnectTimeout{500};
  /// Delay before the connection is reopened; doubles up to the maximum.
  static constexpr std::chrono::milliseconds kMinRetryDelay{50};
  static constexpr std::chrono::milliseconds kMaxRetryDelay{1000};
  /// While calls are outstanding, a peer that has sent nothing for this long is pinged.
  static constexpr std::chrono::milliseconds kPingInterval{100};
  /// The same for a peer that is monitored although no calls are outstanding.
  static constexpr std::chrono::milliseconds kMonitoredPingInterval{250};
  /// A peer that has sent nothing for this long receives no further calls for now.
  static constexpr std::chrono::milliseconds kSuspectTimeout{220};
  /// A peer that has sent nothing for this long is considered unreachable over this connection.
  static constexpr std::chrono::milliseconds kNoDataTimeout{600};
  /// The same for a connection with large responses, which pongs have to wait behind.
  static constexpr std::chrono::milliseconds kBulkNoDataTimeout{3000};

  /// `no_data_timeout`: see `kNoDataTimeout`.
  PeerLink(event_base* base, NetAddress address, std::chrono::milliseconds no_data_timeout,
           Handlers handlers);
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  void Send(PeerMessage message);
  bool up() const { return up_; }
  /// Whether calls are outstanding and the peer has sent nothing for `kSuspectTimeout`.
  bool suspect() const;
  const NetAddress& address() const { return address_; }
  /// Changes the number of outstanding calls; the peer is monitored while it is above 0.
  void AddOutstanding(int delta);
  /// Sets whether the peer is also monitored while no calls are outstanding.
  void SetMonitored(bool monitored);
  /// Monitors the peer for `no_data_timeout` and two pings.
  void Probe();
  /// Connects immediately if the link is waiting to reconnect.
  void RetryNow();
  /// Expects data while the peer's hello or results of calls are outstanding: closes the connection
  /// if none arrives for the timeout, and pings a peer with outstanding calls before that. To be
  /// called every `kPingInterval`.
  void CheckLiveness();

 private:
  void Connect();
  void OnMessage(PeerMessage message);
  void OnPart(const ResultPart& part);
  void OnClosed(const std::string& reason);
  std::chrono::steady_clock::duration TimeWithoutData() const;
  /// Whether data is expected from a peer whose hello has arrived.
  bool ExpectsData() const;

  event_base* base_;
  NetAddress address_;
  std::chrono::milliseconds no_data_timeout_;
  Handlers handlers_;
  std::unique_ptr<FrameStream> stream_;
  Timer retry_timer_;
  std::chrono::milliseconds retry_delay_ = kMinRetryDelay;
  bool connected_ = false;
  bool up_ = false;
  int outstanding_ = 0;
  bool is_monitored_ = false;
  std::chrono::steady_clock::time_point probed_until_;
  /// Results whose bodies have not arrived completely.
  std::unordered_map<CallId, CallResult> incomplete_results_;
  /// Time since which data from the peer is expected.
  std::chrono::steady_clock::time_point monitored_since_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_PEERS_PEER_LINK_H_
