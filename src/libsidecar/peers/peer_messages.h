#ifndef CAMPHORHOIST_LIBSIDECAR_PEERS_PEER_MESSAGES_H_
#define CAMPHORHOIST_LIBSIDECAR_PEERS_PEER_MESSAGES_H_

#include <event2/buffer.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "camphorhoist/call_id.h"
#include "camphorhoist/permit_issuer.h"
#include "camphorhoist/rollout_book.h"
#include "camphorhoist/server_queue.h"
#include "camphorhoist/upstream_registry.h"
#include "libbase/http_client.h"

namespace camphorhoist {

/// Status of the upstream of a sidecar, as reported to other sidecars.
struct UpstreamStatus {
  /// Empty if no upstream is known.
  std::string service;
  std::string instance;
  /// Start time of the instance; empty if it was not reported.
  std::optional<int64_t> started_ms;
  /// Accepts new calls.
  bool ready = false;
  ProxyDuration warm_up{};
  ServerLoad load;
  /// Incarnations of upstreams on this VM that must get no more calls.
  std::vector<UpstreamDeparture> departures;
  /// Version of the upstream's software; empty if it was not reported.
  std::string version;
};

/// First message in both directions of a connection between sidecars.
struct PeerHello {
  std::string node;
  /// Identifies the process run of the sender.
  uint64_t incarnation = 0;
  std::string data_centre;
  /// Address at which the sender accepts connections of other sidecars.
  std::string address;
  uint64_t config_version = 0;
  UpstreamStatus upstream;
  /// The connection carries calls with large responses.
  bool bulk = false;
  /// The store does not respond to the sender.
  bool store_lost = false;
  /// Newest era of the store that the sender has seen; 0 if none.
  int64_t store_era = 0;
  /// Last status of the receiver's upstream that the sender knows, so that a receiver that has
  /// just started learns the rate limit and the departures of its upstream.
  UpstreamStatus receiver_upstream;
  /// The sender reads packed frames. Earlier versions do not.
  bool accepts_packed = true;
  /// Roll-outs that the sender knows, so that a receiver that has just started knows them before it
  /// sends requests to the sender's upstream.
  std::vector<RolloutRecord> rollouts;
  /// Organisations that the sender issues permits of.
  std::vector<std::string> issued;
};

/// State of the store as seen by the sender.
struct StoreStatus {
  /// Newest configuration version that the sender has read.
  uint64_t config_version = 0;
  /// The store does not respond to the sender, so that another sidecar should watch it.
  bool lost = false;
  /// Newest era of the store that the sender has seen; 0 if none.
  int64_t era = 0;
};

/// The store has no entry for the receiver, which has to write it again.
struct EntryMissing {};

/// A call that is offered to the sidecar of an upstream. Offering the same id again requests the
/// result of the first offer; it never runs the call twice.
struct CallOffer {
  CallId id;
  std::string service;
  std::string instance;
  std::string request_id;
  std::string method;
  std::string target;
  HttpHeaders headers;
  std::string body;
  /// Service on the VM where the request originated.
  std::string origin_service;
  ProxyDuration time_left{};
  /// Negative once the objective is missed.
  ProxyDuration objective_left{};
  /// Calls with the same profile are expected to take equally long.
  uint64_t profile = 0;
  int priority = 0;
  bool nested = false;
  bool idempotent = false;
  /// Longest predicted wait that the sender accepts.
  ProxyDuration max_wait{};
  /// A large response is expected.
  bool bulk = false;
  /// Mean service time of such calls at all servers of the service; 0 if unknown.
  ProxyDuration typical_service_time{};
  /// Latency objective of such a call, from the first attempt of its caller.
  ProxyDuration objective_time{};
  /// Organisation of the caller; empty if it has none.
  std::string organisation;
  /// Hash of the name of the route; 0 if unknown.
  uint64_t route = 0;
};

enum class ResultKind : uint8_t {
  /// The complete response of the upstream.
  kResponse,
  /// The upstream has not run the request and never will.
  kNotRun,
  /// The request may have run, and there is no complete response.
  kUnknown,
};

/// Why a call has no response. The names are stable, since they appear in logs and metrics.
enum class ResultReason : uint8_t {
  kNone,
  /// The queue is full, or the predicted wait is longer than the sender accepts.
  kBusy,
  /// The call is predicted to miss its objective or deadline.
  kHopeless,
  /// No upstream of this service and instance accepts calls here.
  kNoUpstream,
  kUpstreamRefused,
  kUpstreamUnreachable,
  kConnectionLost,
  kBrokenResponse,
  kTimeout,
  kCancelled,
  kStopping,
};
const char* ToString(ResultReason reason);

struct CallResult {
  CallId id;
  ResultKind kind = ResultKind::kUnknown;
  ResultReason reason = ResultReason::kNone;
  /// The request was sent to the upstream.
  bool reached_upstream = false;
  int status = 0;
  HttpHeaders headers;
  std::string body;
  ServerLoad load;
  /// Configuration version in force at the sidecar of the upstream.
  uint64_t config_version = 0;
  /// Size of a body that follows in parts, in which case `body` is empty; 0 otherwise.
  size_t body_bytes_in_parts = 0;
  /// Time for which the call occupied a slot of the upstream; 0 without a complete response.
  ProxyDuration service_time{};
  /// The incarnation that has responded, if it stated that it is about to end.
  std::optional<UpstreamDeparture> leaving;
};

/// Next part of the body of a result.
struct ResultPart {
  CallId id;
  std::string body;
  /// No other part follows.
  bool last = false;
};

/// Asks for the configuration, for a sidecar to which the store does not respond.
struct ConfigRequest {
  /// Version that the sender holds; 0 if it holds none.
  uint64_t held_version = 0;
};

/// A configuration as the store holds it.
struct ConfigDocument {
  uint64_t version = 0;
  std::string body;
};

/// News about a roll-out.
struct RolloutUpdate {
  RolloutRecord record;
  /// Set by the writer of the roll-out only. The verdict is in the phase of the record.
  std::optional<RolloutDecision> decision;
};

/// What the server of the sender has done during the roll-out of its service.
struct RolloutCounts {
  std::string service;
  ServerCounts counts;
};

/// Response to a `RolloutUpdate`: the sender sends requests of the service only to this version.
struct RolloutTold {
  std::string service;
  std::string target_version;
};

struct CallCancel {
  CallId id;
};
struct PeerPing {
  uint64_t number = 0;
};
struct PeerPong {
  uint64_t number = 0;
};

using PeerMessage =
    std::variant<PeerHello, CallOffer, CallResult, CallCancel, UpstreamStatus, PeerPing, PeerPong,
                 StoreStatus, EntryMissing, ResultPart, PermitRequest, PermitGrant, ConfigRequest,
                 ConfigDocument, RolloutUpdate, RolloutCounts, RolloutTold>;

/// Maximum frame size; bounds the memory that a faulty peer can make this process allocate.
inline constexpr size_t kMaxFrameBytes = 96 << 20;

/// Encoding of the Cap'n Proto message of a frame. Half of the bytes of a plain message are zero.
enum class FrameEncoding : uint8_t { kPlain, kPacked };

/// Maximum size of an unpacked message: bounds the memory that a small packed message can make this
/// process allocate. Larger messages are sent plain.
inline constexpr size_t kMaxUnpackedBytes = 256 << 10;

/// Returns the encoding of frames from the sender of `own` to that of `peer`. Only traffic between
/// data centres is billed, so that packing is not worth its processor time within one.
FrameEncoding EncodingBetween(const PeerHello& own, const PeerHello& peer);

/// Appends `message` as one frame: the sizes of the Cap'n Proto message and of the body as 32-bit
/// little-endian numbers, then the message, then the body. The highest bit of the first number is
/// set if the message is packed. A large body is not copied.
void AppendFrame(PeerMessage message, evbuffer* output,
                 FrameEncoding encoding = FrameEncoding::kPlain);

/// Appends a body; a large one is not copied.
void AppendBody(std::string body, evbuffer* output);

/// Size of the frame that `input` starts with, including its header; 0 if the header is incomplete.
size_t AnnouncedFrameBytes(evbuffer* input);

enum class FrameStatus : uint8_t { kMessage, kNeedMore, kMalformed };
/// Removes the next frame from `input`. `*message` is set with `kMessage` only.
FrameStatus ExtractFrame(evbuffer* input, PeerMessage* message);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_PEERS_PEER_MESSAGES_H_
