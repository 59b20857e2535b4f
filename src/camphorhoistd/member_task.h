#ifndef CAMPHORHOIST_CAMPHORHOISTD_MEMBER_TASK_H_
#define CAMPHORHOIST_CAMPHORHOISTD_MEMBER_TASK_H_

#include <functional>
#include <random>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

#include "camphorhoist/endpoint_table.h"
#include "camphorhoist/membership.h"
#include "libbase/event_ptr.h"
#include "libbase/mailbox.h"
#include "libnode/datagram_socket.h"

namespace camphorhoist {

/// Messages of the member task to the configuration task.
using MemberEvent = std::variant<VersionObserved, MemberChanged, DataCentreChanged>;

/// Runs the membership protocol over UDP and maintains the endpoint table.
///
/// Thread safety: none; use on the loop's thread.
class MemberTask {
 public:
  /// Preconditions: `base`, `rng` and `events` outlive the task. `options.self` holds the bound
  /// port.
  MemberTask(event_base* base, const MembershipOptions& options, std::mt19937_64* rng,
             Mailbox<MemberEvent>* events);
  MemberTask(const MemberTask&) = delete;
  MemberTask& operator=(const MemberTask&) = delete;

  /// Binds the UDP port and starts the membership.
  std::error_code Start();

  /// Publishes the configuration version, its hash and the last refusal in this node's entry.
  void PublishConfig(const ConfigVersion& version, const std::string& hash,
                     const std::string& refusal);
  /// Publishes the endpoints in this node's entry.
  void PublishEndpoints(std::vector<EndpointInfo> endpoints);
  /// Announces to the other members that this node accepts no new calls.
  void StartDraining();
  /// Announces to the other members that this node leaves the mesh.
  void Leave();
  /// Sends this node's configuration version to `to`.
  void Announce(const MemberId& to);
  void SetHeadConfirmed(MemberTime at) { membership_.SetHeadConfirmed(at); }

  /// `listener` runs after each change of the endpoint table.
  void SetEndpointListener(std::function<void()> listener);

  const Membership& membership() const { return membership_; }
  const EndpointTable& endpoints() const { return endpoints_; }
  const DatagramSocket& socket() const { return socket_; }
  uint64_t malformed_datagrams() const { return malformed_datagrams_; }

 private:
  void OnDatagram(const NetAddress& from, const std::string& data);
  void PublishSelf();
  void Execute(const MemberEffects& effects);
  void Send(const SendMessage& send);

  NetAddress self_;
  std::mt19937_64* rng_;
  Mailbox<MemberEvent>* events_;
  Membership membership_;
  EndpointTable endpoints_;
  SelfState state_;
  uint64_t malformed_datagrams_ = 0;
  DatagramSocket socket_;
  Timer tick_timer_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOISTD_MEMBER_TASK_H_
