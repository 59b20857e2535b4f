#ifndef CAMPHORHOIST_LIBNODE_NODE_MESSAGES_H_
#define CAMPHORHOIST_LIBNODE_NODE_MESSAGES_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "camphorhoist/call_id.h"
#include "camphorhoist/config_version.h"
#include "libbase/http_client.h"
#include "libnode/node.capnp.h"

namespace camphorhoist {

/// A call as sent from the caller-side node to the upstream-side node.
struct NodeCallRequest {
  CallId id;
  /// Incarnation of the node that should run the call; any other incarnation refuses it.
  uint64_t target_incarnation = 0;
  std::string service;
  std::string endpoint;
  std::string method;
  std::string target;
  HttpHeaders headers;
  std::string body;
  uint32_t timeout_ms = 0;
  uint32_t max_queue_ms = 0;
  bool long_work = false;
  bool idempotent = false;
  /// Number of mesh hops before this one.
  uint32_t depth = 0;
};

enum class NodeOutcome { kAnswered, kNotRun, kUnknown };

/// Result of a call on the upstream-side node, with the load of the upstream.
struct NodeCallResult {
  NodeOutcome outcome = NodeOutcome::kUnknown;
  std::string reason;
  uint32_t queue_length = 0;
  uint32_t running = 0;
  uint32_t limit = 0;
  uint32_t queue_micros = 0;
  uint32_t service_micros = 0;
  /// True if `status`, `headers` and `body` hold the complete response.
  bool inline_response = false;
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

enum class NodeCallState { kVoided, kStarted, kFinished, kUnknown };

struct ResolveReply {
  NodeCallState state = NodeCallState::kUnknown;
};

/// One changed record; `body` is empty if the record was removed.
struct RecordChangeMessage {
  std::string kind;
  std::string name;
  uint64_t changed_at = 0;
  std::string body;
};

/// Configuration changes that lead to `version`. If `full` is set, `changes` holds all records.
struct ConfigDeltaMessage {
  ConfigVersion version;
  std::string hash;
  bool full = false;
  std::vector<RecordChangeMessage> changes;
};

/// `highest`: highest configuration version that the node has seen. `reported`: version last
/// reported to the node for the requested address.
struct FloorReply {
  ConfigVersion highest;
  ConfigVersion reported;
};

/// Conversions between the structs above and the RPC messages. Reading throws kj::Exception on a
/// malformed message; the RPC layer then fails only that call.
void WriteCallRequest(const NodeCallRequest& from, rpc::CallRequest::Builder to);
NodeCallRequest ReadCallRequest(rpc::CallRequest::Reader from);
void WriteCallResult(const NodeCallResult& from, rpc::CallResult::Builder to);
NodeCallResult ReadCallResult(rpc::CallResult::Reader from);
void WriteHeaders(const HttpHeaders& from, capnp::List<rpc::Header>::Builder to);
HttpHeaders ReadHeaders(capnp::List<rpc::Header>::Reader from);
ConfigDeltaMessage ReadDelta(rpc::Node::PullConfigResults::Reader from);
void WriteDelta(const ConfigDeltaMessage& from, rpc::Node::PullConfigResults::Builder to);

inline ConfigVersion ReadVersion(rpc::Version::Reader from) {
  return ConfigVersion(from.getEpoch(), from.getNumber());
}
inline void WriteVersion(const ConfigVersion& from, rpc::Version::Builder to) {
  to.setEpoch(from.epoch());
  to.setNumber(from.number());
}

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBNODE_NODE_MESSAGES_H_
