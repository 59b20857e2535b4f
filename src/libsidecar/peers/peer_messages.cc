#include "libsidecar/peers/peer_messages.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstring>
#include <utility>

#include "libsidecar/peers/peer.capnp.h"

namespace camphorhoist {

namespace {

// Most messages fit into one segment of this size on the stack.
constexpr size_t kScratchWords = 512;
// Two 32-bit sizes.
constexpr size_t kFrameHeaderBytes = 8;
// Shorter bodies are copied, which is cheaper than a reference.
constexpr size_t kMinReferenceBytes = 4096;

uint32_t ClampMicros(ProxyDuration duration) {
  return static_cast<uint32_t>(std::clamp<int64_t>(duration.count(), 0, UINT32_MAX));
}
int32_t ClampSignedMicros(ProxyDuration duration) {
  return static_cast<int32_t>(std::clamp<int64_t>(duration.count(), INT32_MIN, INT32_MAX));
}
uint16_t ClampCount(uint32_t count) {
  return static_cast<uint16_t>(std::min<uint32_t>(count, UINT16_MAX));
}

std::string FromText(capnp::Text::Reader text) { return {text.cStr(), text.size()}; }

void Write(const CallId& id, peer::CallId::Builder out) {
  out.setOrigin(id.origin());
  out.setCounter(id.counter());
}
CallId Read(peer::CallId::Reader in) { return {in.getOrigin(), in.getCounter()}; }

template <typename Builder>
void WriteHeaders(const HttpHeaders& headers, Builder* out) {
  auto list = out->initHeaders(static_cast<unsigned>(headers.size()));
  for (unsigned i = 0; i < headers.size(); ++i) {
    list[i].setName(headers[i].first);
    list[i].setValue(headers[i].second);
  }
}
HttpHeaders Read(capnp::List<peer::Header>::Reader in) {
  HttpHeaders headers;
  headers.reserve(in.size());
  for (const auto& it : in) headers.emplace_back(FromText(it.getName()), FromText(it.getValue()));
  return headers;
}

void Write(const ServerLoad& load, peer::Load::Builder out) {
  out.setRunning(ClampCount(load.running));
  out.setQueued(ClampCount(load.queued));
  out.setLimit(ClampCount(load.limit));
  out.setServiceMicros(ClampMicros(load.service_time));
  out.setWaitMicros(ClampMicros(load.expected_wait));
  out.setDeliveryMicros(ClampMicros(load.delivery_wait));
  out.setRequestIntervalMicros(ClampMicros(load.request_interval));
  out.setPermitMicros(ClampMicros(load.permit_wait));
  out.setRelativeServiceTime(static_cast<float>(load.relative_service_time));
  out.setFailureShare(static_cast<float>(load.failure_share));
}
ServerLoad Read(peer::Load::Reader in) {
  ServerLoad load;
  load.running = in.getRunning();
  load.queued = in.getQueued();
  load.limit = in.getLimit();
  load.service_time = ProxyDuration(in.getServiceMicros());
  load.expected_wait = ProxyDuration(in.getWaitMicros());
  load.delivery_wait = ProxyDuration(in.getDeliveryMicros());
  load.request_interval = ProxyDuration(in.getRequestIntervalMicros());
  load.permit_wait = ProxyDuration(in.getPermitMicros());
  load.relative_service_time = ServerQueue::ClampRelativeServiceTime(in.getRelativeServiceTime());
  const double failure_share = in.getFailureShare();
  load.failure_share = std::isnan(failure_share) ? 0 : std::clamp(failure_share, 0.0, 1.0);
  return load;
}

void Write(const UpstreamDeparture& departure, peer::Incarnation::Builder out) {
  out.setInstance(departure.instance);
  out.setStartedMs(departure.started_ms.value_or(0));
  out.setHasStart(departure.started_ms.has_value());
}
UpstreamDeparture Read(peer::Incarnation::Reader in) {
  UpstreamDeparture departure;
  departure.instance = FromText(in.getInstance());
  if (in.getHasStart()) departure.started_ms = in.getStartedMs();
  return departure;
}

void Write(const UpstreamStatus& status, peer::Upstream::Builder out) {
  out.setService(status.service);
  out.setInstance(status.instance);
  out.setReady(status.ready);
  out.setWarmUpMicros(ClampMicros(status.warm_up));
  Write(status.load, out.initLoad());
  out.setStartedMs(status.started_ms.value_or(0));
  out.setHasStart(status.started_ms.has_value());
  if (status.departures.empty()) return;
  auto departures = out.initDepartures(static_cast<unsigned>(status.departures.size()));
  for (unsigned i = 0; i < departures.size(); ++i) Write(status.departures[i], departures[i]);
}
UpstreamStatus Read(peer::Upstream::Reader in) {
  UpstreamStatus status;
  status.service = FromText(in.getService());
  status.instance = FromText(in.getInstance());
  status.ready = in.getReady();
  status.warm_up = ProxyDuration(in.getWarmUpMicros());
  status.load = Read(in.getLoad());
  if (in.getHasStart()) status.started_ms = in.getStartedMs();
  for (const auto& it : in.getDepartures()) {
    if (status.departures.size() == UpstreamRegistry::kMaxDepartures) break;
    status.departures.push_back(Read(it));
  }
  return status;
}

void Write(const PeerHello& hello, peer::Frame::Builder frame) {
  auto out = frame.initHello();
  out.setNode(hello.node);
  out.setIncarnation(hello.incarnation);
  out.setDataCentre(hello.data_centre);
  out.setAddress(hello.address);
  out.setConfigVersion(hello.config_version);
  Write(hello.upstream, out.initUpstream());
  out.setBulk(hello.bulk);
  out.setStoreLost(hello.store_lost);
  Write(hello.receiver_upstream, out.initReceiverUpstream());
}
PeerHello Read(peer::Hello::Reader in) {
  PeerHello hello;
  hello.node = FromText(in.getNode());
  hello.incarnation = in.getIncarnation();
  hello.data_centre = FromText(in.getDataCentre());
  hello.address = FromText(in.getAddress());
  hello.config_version = in.getConfigVersion();
  hello.upstream = Read(in.getUpstream());
  hello.bulk = in.getBulk();
  hello.store_lost = in.getStoreLost();
  hello.receiver_upstream = Read(in.getReceiverUpstream());
  return hello;
}

void Write(const CallOffer& offer, peer::Frame::Builder frame) {
  auto out = frame.initOffer();
  Write(offer.id, out.initId());
  out.setService(offer.service);
  out.setInstance(offer.instance);
  out.setRequestId(offer.request_id);
  out.setMethod(offer.method);
  out.setTarget(offer.target);
  WriteHeaders(offer.headers, &out);
  out.setOriginService(offer.origin_service);
  out.setTimeLeftMicros(ClampMicros(offer.time_left));
  out.setObjectiveLeftMicros(ClampSignedMicros(offer.objective_left));
  out.setProfile(offer.profile);
  out.setPriority(offer.priority);
  out.setNested(offer.nested);
  out.setIdempotent(offer.idempotent);
  out.setMaxWaitMicros(ClampMicros(offer.max_wait));
  out.setBulk(offer.bulk);
  out.setTypicalServiceMicros(ClampMicros(offer.typical_service_time));
  out.setObjectiveTimeMicros(ClampMicros(offer.objective_time));
}
CallOffer Read(peer::Offer::Reader in) {
  CallOffer offer;
  offer.id = Read(in.getId());
  offer.service = FromText(in.getService());
  offer.instance = FromText(in.getInstance());
  offer.request_id = FromText(in.getRequestId());
  offer.method = FromText(in.getMethod());
  offer.target = FromText(in.getTarget());
  offer.headers = Read(in.getHeaders());
  offer.origin_service = FromText(in.getOriginService());
  offer.time_left = ProxyDuration(in.getTimeLeftMicros());
  offer.objective_left = ProxyDuration(in.getObjectiveLeftMicros());
  offer.profile = in.getProfile();
  offer.priority = in.getPriority();
  offer.nested = in.getNested();
  offer.idempotent = in.getIdempotent();
  offer.max_wait = ProxyDuration(in.getMaxWaitMicros());
  offer.bulk = in.getBulk();
  offer.typical_service_time = ProxyDuration(in.getTypicalServiceMicros());
  offer.objective_time = ProxyDuration(in.getObjectiveTimeMicros());
  return offer;
}

void Write(const CallResult& result, peer::Frame::Builder frame) {
  auto out = frame.initResult();
  Write(result.id, out.initId());
  out.setKind(static_cast<uint8_t>(result.kind));
  out.setReason(static_cast<uint8_t>(result.reason));
  out.setReachedUpstream(result.reached_upstream);
  out.setStatus(static_cast<uint16_t>(result.status));
  WriteHeaders(result.headers, &out);
  Write(result.load, out.initLoad());
  out.setConfigVersion(result.config_version);
  out.setPartedBytes(static_cast<uint32_t>(result.body_bytes_in_parts));
  out.setServiceMicros(ClampMicros(result.service_time));
  if (result.leaving) Write(*result.leaving, out.initLeaving());
}
CallResult Read(peer::Result::Reader in) {
  CallResult result;
  result.id = Read(in.getId());
  // Values that only a newer version of the peer defines are treated as unknown.
  result.kind = in.getKind() <= static_cast<uint8_t>(ResultKind::kUnknown)
                    ? static_cast<ResultKind>(in.getKind())
                    : ResultKind::kUnknown;
  result.reason = in.getReason() <= static_cast<uint8_t>(ResultReason::kStopping)
                      ? static_cast<ResultReason>(in.getReason())
                      : ResultReason::kNone;
  result.reached_upstream = in.getReachedUpstream();
  result.status = in.getStatus();
  result.headers = Read(in.getHeaders());
  result.load = Read(in.getLoad());
  result.config_version = in.getConfigVersion();
  result.body_bytes_in_parts = in.getPartedBytes();
  result.service_time = ProxyDuration(in.getServiceMicros());
  if (in.hasLeaving()) result.leaving = Read(in.getLeaving());
  return result;
}

void Write(const CallCancel& cancel, peer::Frame::Builder frame) {
  Write(cancel.id, frame.initCancel());
}
void Write(const UpstreamStatus& status, peer::Frame::Builder frame) {
  Write(status, frame.initUpstream());
}
void Write(const PeerPing& ping, peer::Frame::Builder frame) { frame.setPing(ping.number); }
void Write(const PeerPong& pong, peer::Frame::Builder frame) { frame.setPong(pong.number); }
void Write(const StoreStatus& status, peer::Frame::Builder frame) {
  auto out = frame.initStoreStatus();
  out.setConfigVersion(status.config_version);
  out.setLost(status.lost);
}
void Write(const EntryMissing&, peer::Frame::Builder frame) { frame.setEntryMissing(); }
void Write(const ResultPart& part, peer::Frame::Builder frame) {
  auto out = frame.initResultPart();
  Write(part.id, out.initId());
  out.setLast(part.last);
}

bool ReadMessage(peer::Frame::Reader frame, PeerMessage* message) {
  switch (frame.which()) {
    case peer::Frame::HELLO:
      *message = Read(frame.getHello());
      return true;
    case peer::Frame::OFFER:
      *message = Read(frame.getOffer());
      return true;
    case peer::Frame::RESULT:
      *message = Read(frame.getResult());
      return true;
    case peer::Frame::CANCEL:
      *message = CallCancel{Read(frame.getCancel())};
      return true;
    case peer::Frame::UPSTREAM:
      *message = Read(frame.getUpstream());
      return true;
    case peer::Frame::PING:
      *message = PeerPing{frame.getPing()};
      return true;
    case peer::Frame::PONG:
      *message = PeerPong{frame.getPong()};
      return true;
    case peer::Frame::STORE_STATUS:
      *message =
          StoreStatus{frame.getStoreStatus().getConfigVersion(), frame.getStoreStatus().getLost()};
      return true;
    case peer::Frame::ENTRY_MISSING:
      *message = EntryMissing{};
      return true;
    case peer::Frame::RESULT_PART:
      *message =
          ResultPart{Read(frame.getResultPart().getId()), "", frame.getResultPart().getLast()};
      return true;
  }
  return false;
}

}  // namespace

const char* ToString(ResultReason reason) {
  switch (reason) {
    case ResultReason::kNone:
      return "none";
    case ResultReason::kBusy:
      return "busy";
    case ResultReason::kHopeless:
      return "hopeless";
    case ResultReason::kNoUpstream:
      return "no_upstream";
    case ResultReason::kUpstreamRefused:
      return "upstream_refused";
    case ResultReason::kUpstreamUnreachable:
      return "upstream_unreachable";
    case ResultReason::kConnectionLost:
      return "connection_lost";
    case ResultReason::kBrokenResponse:
      return "broken_response";
    case ResultReason::kTimeout:
      return "timeout";
    case ResultReason::kCancelled:
      return "cancelled";
    case ResultReason::kStopping:
      return "stopping";
  }
  return "none";
}

namespace {

std::string* BodyOf(PeerMessage* message) {
  if (auto* offer = std::get_if<CallOffer>(message)) return &offer->body;
  if (auto* result = std::get_if<CallResult>(message)) return &result->body;
  if (auto* part = std::get_if<ResultPart>(message)) return &part->body;
  return nullptr;
}

void WriteSize(size_t size, unsigned char* out) {
  for (int i = 0; i < 4; ++i) out[i] = static_cast<unsigned char>(size >> (8 * i));
}
size_t ReadSize(const unsigned char* in) {
  return in[0] | in[1] << 8 | in[2] << 16 | static_cast<size_t>(in[3]) << 24;
}

}  // namespace

void AppendBody(std::string body, evbuffer* output) {
  if (body.size() < kMinReferenceBytes) {
    evbuffer_add(output, body.data(), body.size());
    return;
  }
  auto* owned = new std::string(std::move(body));
  evbuffer_add_reference(
      output, owned->data(), owned->size(),
      [](const void*, size_t, void* arg) { delete static_cast<std::string*>(arg); }, owned);
}

void AppendFrame(PeerMessage message, evbuffer* output) {
  capnp::word scratch[kScratchWords];
  std::memset(scratch, 0, sizeof(scratch));
  capnp::MallocMessageBuilder builder(kj::arrayPtr(scratch, kScratchWords));
  const auto frame = builder.initRoot<peer::Frame>();
  std::visit([&frame](const auto& it) { Write(it, frame); }, message);
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(builder);
  const kj::ArrayPtr<const kj::byte> bytes = words.asBytes();
  std::string* body = BodyOf(&message);
  std::array<unsigned char, kFrameHeaderBytes> header{};
  WriteSize(bytes.size(), header.data());
  WriteSize(body == nullptr ? 0 : body->size(), header.data() + 4);
  evbuffer_add(output, header.data(), header.size());
  evbuffer_add(output, bytes.begin(), bytes.size());
  if (body != nullptr && !body->empty()) AppendBody(std::move(*body), output);
}

FrameStatus ExtractFrame(evbuffer* input, PeerMessage* message) {
  std::array<unsigned char, kFrameHeaderBytes> header{};
  if (evbuffer_copyout(input, header.data(), header.size()) <
      static_cast<ev_ssize_t>(header.size())) {
    return FrameStatus::kNeedMore;
  }
  const size_t size = ReadSize(header.data());
  const size_t body_size = ReadSize(header.data() + 4);
  if (size + body_size > kMaxFrameBytes || size % sizeof(capnp::word) != 0) {
    return FrameStatus::kMalformed;
  }
  if (evbuffer_get_length(input) < header.size() + size + body_size) return FrameStatus::kNeedMore;
  evbuffer_drain(input, header.size());
  kj::Array<capnp::word> words = kj::heapArray<capnp::word>(size / sizeof(capnp::word));
  evbuffer_remove(input, words.begin(), size);
  bool read = false;
  const kj::Maybe<kj::Exception> exception = kj::runCatchingExceptions([&] {
    capnp::FlatArrayMessageReader reader(words);
    read = ReadMessage(reader.getRoot<peer::Frame>(), message);
  });
  if (!read || exception != nullptr) return FrameStatus::kMalformed;
  std::string* body = BodyOf(message);
  if (body == nullptr) return body_size == 0 ? FrameStatus::kMessage : FrameStatus::kMalformed;
  body->resize(body_size);
  evbuffer_remove(input, body->data(), body_size);
  return FrameStatus::kMessage;
}

}  // namespace camphorhoist
