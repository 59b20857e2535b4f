#include "libnode/node_messages.h"

namespace camphorhoist {

namespace {

kj::ArrayPtr<const kj::byte> ToBytes(const std::string& text) {
  return kj::arrayPtr(reinterpret_cast<const kj::byte*>(text.data()), text.size());
}

std::string ToString(capnp::Data::Reader data) {
  return std::string(reinterpret_cast<const char*>(data.begin()), data.size());
}

std::string ToString(capnp::Text::Reader text) { return std::string(text.begin(), text.size()); }

}  // namespace

void WriteHeaders(const HttpHeaders& from, capnp::List<rpc::Header>::Builder to) {
  for (unsigned i = 0; i < from.size(); ++i) {
    to[i].setName(from[i].first);
    to[i].setValue(from[i].second);
  }
}

HttpHeaders ReadHeaders(capnp::List<rpc::Header>::Reader from) {
  HttpHeaders headers;
  headers.reserve(from.size());
  for (const auto& it : from) headers.emplace_back(ToString(it.getName()), ToString(it.getValue()));
  return headers;
}

void WriteCallRequest(const NodeCallRequest& from, rpc::CallRequest::Builder to) {
  auto id = to.initId();
  id.setOrigin(from.id.origin());
  id.setCounter(from.id.counter());
  to.setTargetIncarnation(from.target_incarnation);
  to.setService(from.service);
  to.setEndpoint(from.endpoint);
  to.setMethod(from.method);
  to.setTarget(from.target);
  WriteHeaders(from.headers, to.initHeaders(static_cast<unsigned>(from.headers.size())));
  to.setBody(ToBytes(from.body));
  to.setTimeoutMs(from.timeout_ms);
  to.setMaxQueueMs(from.max_queue_ms);
  to.setLongWork(from.long_work);
  to.setIdempotent(from.idempotent);
  to.setDepth(from.depth);
}

NodeCallRequest ReadCallRequest(rpc::CallRequest::Reader from) {
  NodeCallRequest to;
  to.id = CallId(from.getId().getOrigin(), from.getId().getCounter());
  to.target_incarnation = from.getTargetIncarnation();
  to.service = ToString(from.getService());
  to.endpoint = ToString(from.getEndpoint());
  to.method = ToString(from.getMethod());
  to.target = ToString(from.getTarget());
  to.headers = ReadHeaders(from.getHeaders());
  to.body = ToString(from.getBody());
  to.timeout_ms = from.getTimeoutMs();
  to.max_queue_ms = from.getMaxQueueMs();
  to.long_work = from.getLongWork();
  to.idempotent = from.getIdempotent();
  to.depth = from.getDepth();
  return to;
}

void WriteCallResult(const NodeCallResult& from, rpc::CallResult::Builder to) {
  to.setOutcome(static_cast<rpc::Outcome>(from.outcome));
  to.setReason(from.reason);
  to.setQueueLength(from.queue_length);
  to.setRunning(from.running);
  to.setLimit(from.limit);
  to.setQueueMicros(from.queue_micros);
  to.setServiceMicros(from.service_micros);
  to.setInlineAnswer(from.inline_response);
  if (!from.inline_response) return;
  to.setStatus(static_cast<uint16_t>(from.status));
  WriteHeaders(from.headers, to.initHeaders(static_cast<unsigned>(from.headers.size())));
  to.setBody(ToBytes(from.body));
}

NodeCallResult ReadCallResult(rpc::CallResult::Reader from) {
  NodeCallResult to;
  // An outcome that only newer versions define counts as unknown.
  to.outcome = from.getOutcome() <= rpc::Outcome::UNKNOWN
                   ? static_cast<NodeOutcome>(from.getOutcome())
                   : NodeOutcome::kUnknown;
  to.reason = ToString(from.getReason());
  to.queue_length = from.getQueueLength();
  to.running = from.getRunning();
  to.limit = from.getLimit();
  to.queue_micros = from.getQueueMicros();
  to.service_micros = from.getServiceMicros();
  to.inline_response = from.getInlineAnswer();
  if (!to.inline_response) return to;
  to.status = from.getStatus();
  to.headers = ReadHeaders(from.getHeaders());
  to.body = ToString(from.getBody());
  return to;
}

void WriteDelta(const ConfigDeltaMessage& from, rpc::Node::PullConfigResults::Builder to) {
  WriteVersion(from.version, to.initVersion());
  to.setHash(from.hash);
  to.setFull(from.full);
  auto changes = to.initChanges(static_cast<unsigned>(from.changes.size()));
  for (unsigned i = 0; i < from.changes.size(); ++i) {
    changes[i].setKind(from.changes[i].kind);
    changes[i].setName(from.changes[i].name);
    changes[i].setChangedAt(from.changes[i].changed_at);
    changes[i].setBody(from.changes[i].body);
  }
}

ConfigDeltaMessage ReadDelta(rpc::Node::PullConfigResults::Reader from) {
  ConfigDeltaMessage to;
  to.version = ReadVersion(from.getVersion());
  to.hash = ToString(from.getHash());
  to.full = from.getFull();
  to.changes.reserve(from.getChanges().size());
  for (const auto& it : from.getChanges()) {
    RecordChangeMessage change;
    change.kind = ToString(it.getKind());
    change.name = ToString(it.getName());
    change.changed_at = it.getChangedAt();
    change.body = ToString(it.getBody());
    to.changes.push_back(std::move(change));
  }
  return to;
}

}  // namespace camphorhoist
