#include "libsidecar/peers/peer_messages.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <capnp/serialize.h>
#include <kj/exception.h>
#include <kj/io.h>

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
// Most packed messages are shorter.
constexpr size_t kPackedBytes = 512;
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
  out.setVersion(status.version);
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
  status.version = FromText(in.getVersion());
  for (const auto& it : in.getDepartures()) {
    if (status.departures.size() == UpstreamRegistry::kMaxDepartures) break;
    status.departures.push_back(Read(it));
  }
  return status;
}

uint64_t Micros(ProxyDuration duration) {
  return static_cast<uint64_t>(std::max<int64_t>(duration.count(), 0));
}
// A period of more than ten years is a malformed one, and sums with it must not overflow.
ProxyDuration FromMicros(uint64_t micros) {
  constexpr uint64_t kMax = uint64_t{10} * 366 * 24 * 3600 * 1000000;
  return ProxyDuration(static_cast<int64_t>(std::min(micros, kMax)));
}

void Write(const RolloutRecord& record, peer::Rollout::Builder out) {
  out.setService(record.order.service);
  out.setNewVersion(record.order.target_version);
  out.setPeriodMicros(Micros(record.order.period));
  out.setElapsedMicros(Micros(record.elapsed));
  out.setEra(record.era);
  out.setRevision(record.revision);
  out.setFirstRevision(record.first_revision);
  out.setDeleted(record.deleted);
  out.setState(static_cast<uint8_t>(record.state));
  out.setPhase(static_cast<uint8_t>(record.phase));
}
RolloutRecord Read(peer::Rollout::Reader in) {
  RolloutRecord record;
  record.order.service = FromText(in.getService());
  record.order.target_version = FromText(in.getNewVersion());
  record.order.period = FromMicros(in.getPeriodMicros());
  record.elapsed = FromMicros(in.getElapsedMicros());
  record.era = in.getEra();
  record.revision = in.getRevision();
  record.first_revision = in.getFirstRevision();
  record.deleted = in.getDeleted();
  record.state = static_cast<RolloutState>(
      std::min(in.getState(), static_cast<uint8_t>(RolloutState::kRolledBack)));
  record.phase = static_cast<RolloutPhase>(
      std::min(in.getPhase(), static_cast<uint8_t>(RolloutPhase::kStopped)));
  return record;
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
  out.setStoreEra(hello.store_era);
  out.setAcceptsPacked(hello.accepts_packed);
  Write(hello.receiver_upstream, out.initReceiverUpstream());
  auto issued = out.initIssued(static_cast<unsigned>(hello.issued.size()));
  for (unsigned i = 0; i < issued.size(); ++i) issued.set(i, hello.issued[i]);
  if (hello.rollouts.empty()) return;
  auto rollouts = out.initRollouts(static_cast<unsigned>(hello.rollouts.size()));
  for (unsigned i = 0; i < rollouts.size(); ++i) Write(hello.rollouts[i], rollouts[i]);
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
  hello.store_era = in.getStoreEra();
  hello.accepts_packed = in.getAcceptsPacked();
  hello.receiver_upstream = Read(in.getReceiverUpstream());
  for (const auto& it : in.getIssued()) hello.issued.push_back(FromText(it));
  for (const auto& it : in.getRollouts()) hello.rollouts.push_back(Read(it));
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
  out.setOrganisation(offer.organisation);
  out.setRoute(offer.route);
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
  offer.organisation = FromText(in.getOrganisation());
  offer.route = in.getRoute();
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
  out.setEra(status.era);
}
void Write(const EntryMissing&, peer::Frame::Builder frame) { frame.setEntryMissing(); }
void Write(const ResultPart& part, peer::Frame::Builder frame) {
  auto out = frame.initResultPart();
  Write(part.id, out.initId());
  out.setLast(part.last);
}
void Write(const PermitRequest& request, peer::Frame::Builder frame) {
  auto out = frame.initPermitRequest();
  out.setOrganisation(request.organisation);
  out.setWanted(request.wanted);
  out.setTakeover(request.takeover);
}
PermitRequest Read(peer::PermitRequest::Reader in) {
  return {FromText(in.getOrganisation()), in.getWanted(), in.getTakeover()};
}

void Write(const PermitGrant& grant, peer::Frame::Builder frame) {
  auto out = frame.initPermitGrant();
  out.setOrganisation(grant.organisation);
  out.setGranted(grant.granted);
  out.setValidForMicros(ClampMicros(grant.valid_for));
  out.setRetryAfterMicros(ClampMicros(grant.retry_after));
  out.setCautiousForMicros(ClampMicros(grant.cautious_for));
  out.setTakeover(grant.takeover);
  out.setReleased(grant.released);
  out.setShare(static_cast<float>(grant.share));
  out.setNotOwner(grant.not_owner);
}
PermitGrant Read(peer::PermitGrant::Reader in) {
  PermitGrant grant;
  grant.organisation = FromText(in.getOrganisation());
  grant.granted = in.getGranted();
  grant.valid_for = ProxyDuration(in.getValidForMicros());
  grant.retry_after = ProxyDuration(in.getRetryAfterMicros());
  grant.cautious_for = ProxyDuration(in.getCautiousForMicros());
  grant.takeover = in.getTakeover();
  grant.released = in.getReleased();
  const double share = in.getShare();
  grant.share = std::isnan(share) ? 0 : std::clamp(share, 0.0, 1.0);
  grant.not_owner = in.getNotOwner();
  return grant;
}

void Write(const ConfigRequest& request, peer::Frame::Builder frame) {
  frame.setConfigRequest(request.held_version);
}
void Write(const ConfigDocument& document, peer::Frame::Builder frame) {
  frame.setConfigDocument(document.version);
}

void Write(const RolloutUpdate& update, peer::Frame::Builder frame) {
  auto out = frame.initRolloutUpdate();
  Write(update.record, out.initRollout());
  if (!update.decision) return;
  out.setHasShare(true);
  out.setShare(update.decision->share);
  out.setServers(update.decision->servers);
  out.setValidForMicros(ClampMicros(update.decision->valid_for));
}
RolloutUpdate Read(peer::RolloutUpdate::Reader in) {
  RolloutUpdate update;
  update.record = Read(in.getRollout());
  if (!in.getHasShare()) return update;
  RolloutDecision decision;
  decision.share = std::isnan(in.getShare()) ? 0 : std::clamp(in.getShare(), 0.0, 1.0);
  decision.servers = in.getServers();
  decision.valid_for = ProxyDuration(in.getValidForMicros());
  update.decision = decision;
  return update;
}

void Write(const RolloutCounts& message, peer::Frame::Builder frame) {
  auto out = frame.initRolloutCounts();
  out.setService(message.service);
  out.setVersion(message.counts.version);
  out.setGeneration(message.counts.generation);
  out.setRequests(message.counts.requests);
  out.setActive(message.counts.active);
  auto routes = out.initRoutes(static_cast<unsigned>(message.counts.routes.size()));
  for (unsigned i = 0; i < routes.size(); ++i) {
    const RouteCounts& counts = message.counts.routes[i];
    routes[i].setRoute(counts.route);
    routes[i].setResponses(counts.responses);
    routes[i].setFailures(counts.failures);
    routes[i].setTimed(counts.timed);
    routes[i].setLogTimeSum(counts.log_time_sum);
    routes[i].setLogTimeSquares(counts.log_time_squares);
  }
}
RolloutCounts Read(peer::RolloutCounts::Reader in) {
  RolloutCounts message;
  message.service = FromText(in.getService());
  message.counts.version = FromText(in.getVersion());
  message.counts.generation = in.getGeneration();
  message.counts.requests = in.getRequests();
  message.counts.active = in.getActive();
  for (const auto& it : in.getRoutes()) {
    if (message.counts.routes.size() == ServerCounts::kMaxRoutes) break;
    const bool valid = std::isfinite(it.getLogTimeSum()) && std::isfinite(it.getLogTimeSquares());
    if (!valid) continue;
    RouteCounts counts;
    counts.route = it.getRoute();
    counts.responses = it.getResponses();
    counts.failures = it.getFailures();
    counts.timed = it.getTimed();
    counts.log_time_sum = it.getLogTimeSum();
    counts.log_time_squares = it.getLogTimeSquares();
    message.counts.routes.push_back(counts);
  }
  return message;
}

void Write(const RolloutTold& told, peer::Frame::Builder frame) {
  auto out = frame.initRolloutTold();
  out.setService(told.service);
  out.setNewVersion(told.target_version);
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
      *message = StoreStatus{frame.getStoreStatus().getConfigVersion(),
                             frame.getStoreStatus().getLost(), frame.getStoreStatus().getEra()};
      return true;
    case peer::Frame::ENTRY_MISSING:
      *message = EntryMissing{};
      return true;
    case peer::Frame::PERMIT_REQUEST:
      *message = Read(frame.getPermitRequest());
      return true;
    case peer::Frame::PERMIT_GRANT:
      *message = Read(frame.getPermitGrant());
      return true;
    case peer::Frame::RESULT_PART:
      *message =
          ResultPart{Read(frame.getResultPart().getId()), "", frame.getResultPart().getLast()};
      return true;
    case peer::Frame::CONFIG_REQUEST:
      *message = ConfigRequest{frame.getConfigRequest()};
      return true;
    case peer::Frame::CONFIG_DOCUMENT:
      *message = ConfigDocument{frame.getConfigDocument(), ""};
      return true;
    case peer::Frame::ROLLOUT_UPDATE:
      *message = Read(frame.getRolloutUpdate());
      return true;
    case peer::Frame::ROLLOUT_COUNTS:
      *message = Read(frame.getRolloutCounts());
      return true;
    case peer::Frame::ROLLOUT_TOLD:
      *message = RolloutTold{FromText(frame.getRolloutTold().getService()),
                             FromText(frame.getRolloutTold().getNewVersion())};
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
  if (auto* document = std::get_if<ConfigDocument>(message)) return &document->body;
  return nullptr;
}

// Set in the size of a packed message; sizes are far below it.
constexpr size_t kPackedFlag = size_t{1} << 31;
static_assert(kMaxFrameBytes < kPackedFlag);

void WriteSize(size_t size, unsigned char* out) {
  for (int i = 0; i < 4; ++i) out[i] = static_cast<unsigned char>(size >> (8 * i));
}
size_t ReadSize(const unsigned char* in) {
  return in[0] | in[1] << 8 | in[2] << 16 | static_cast<size_t>(in[3]) << 24;
}

struct FrameSizes {
  size_t message = 0;
  size_t body = 0;
  bool packed = false;
};

FrameSizes ReadSizes(const std::array<unsigned char, kFrameHeaderBytes>& header) {
  const size_t message = ReadSize(header.data());
  return {message & ~kPackedFlag, ReadSize(header.data() + 4), (message & kPackedFlag) != 0};
}

// Removes a packed message of `size` bytes from `input`.
bool ReadPacked(evbuffer* input, size_t size, PeerMessage* message) {
  kj::Array<kj::byte> bytes = kj::heapArray<kj::byte>(size);
  evbuffer_remove(input, bytes.begin(), size);
  kj::ArrayInputStream stream(bytes);
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kMaxUnpackedBytes / sizeof(capnp::word);
  capnp::PackedMessageReader reader(stream, options);
  return ReadMessage(reader.getRoot<peer::Frame>(), message);
}

bool ReadPlain(evbuffer* input, size_t size, PeerMessage* message) {
  kj::Array<capnp::word> words = kj::heapArray<capnp::word>(size / sizeof(capnp::word));
  evbuffer_remove(input, words.begin(), size);
  capnp::FlatArrayMessageReader reader(words);
  return ReadMessage(reader.getRoot<peer::Frame>(), message);
}

}  // namespace

FrameEncoding EncodingBetween(const PeerHello& own, const PeerHello& peer) {
  return peer.accepts_packed && own.data_centre != peer.data_centre ? FrameEncoding::kPacked
                                                                    : FrameEncoding::kPlain;
}

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

void AppendFrame(PeerMessage message, evbuffer* output, FrameEncoding encoding) {
  capnp::word scratch[kScratchWords];
  std::memset(scratch, 0, sizeof(scratch));
  capnp::MallocMessageBuilder builder(kj::arrayPtr(scratch, kScratchWords));
  const auto frame = builder.initRoot<peer::Frame>();
  std::visit([&frame](const auto& it) { Write(it, frame); }, message);
  // Half of the limit, since reading a message may count parts of it twice.
  const bool packed =
      encoding == FrameEncoding::kPacked &&
      capnp::computeSerializedSizeInWords(builder) * sizeof(capnp::word) <= kMaxUnpackedBytes / 2;
  kj::VectorOutputStream stream(kPackedBytes);
  kj::Array<capnp::word> words;
  kj::ArrayPtr<const kj::byte> bytes;
  if (packed) {
    capnp::writePackedMessage(stream, builder);
    bytes = stream.getArray();
  } else {
    words = capnp::messageToFlatArray(builder);
    bytes = words.asBytes();
  }
  std::string* body = BodyOf(&message);
  std::array<unsigned char, kFrameHeaderBytes> header{};
  WriteSize(bytes.size() | (packed ? kPackedFlag : 0), header.data());
  WriteSize(body == nullptr ? 0 : body->size(), header.data() + 4);
  evbuffer_add(output, header.data(), header.size());
  evbuffer_add(output, bytes.begin(), bytes.size());
  if (body != nullptr && !body->empty()) AppendBody(std::move(*body), output);
}

size_t AnnouncedFrameBytes(evbuffer* input) {
  std::array<unsigned char, kFrameHeaderBytes> header{};
  if (evbuffer_copyout(input, header.data(), header.size()) <
      static_cast<ev_ssize_t>(header.size())) {
    return 0;
  }
  const FrameSizes sizes = ReadSizes(header);
  return header.size() + sizes.message + sizes.body;
}

FrameStatus ExtractFrame(evbuffer* input, PeerMessage* message) {
  std::array<unsigned char, kFrameHeaderBytes> header{};
  if (evbuffer_copyout(input, header.data(), header.size()) <
      static_cast<ev_ssize_t>(header.size())) {
    return FrameStatus::kNeedMore;
  }
  const FrameSizes sizes = ReadSizes(header);
  const size_t body_size = sizes.body;
  if (sizes.message + body_size > kMaxFrameBytes) return FrameStatus::kMalformed;
  if (sizes.packed ? sizes.message > kMaxUnpackedBytes : sizes.message % sizeof(capnp::word) != 0) {
    return FrameStatus::kMalformed;
  }
  if (evbuffer_get_length(input) < header.size() + sizes.message + body_size) {
    return FrameStatus::kNeedMore;
  }
  evbuffer_drain(input, header.size());
  bool read = false;
  const kj::Maybe<kj::Exception> exception = kj::runCatchingExceptions([&] {
    read = sizes.packed ? ReadPacked(input, sizes.message, message)
                        : ReadPlain(input, sizes.message, message);
  });
  if (!read || exception != nullptr) return FrameStatus::kMalformed;
  std::string* body = BodyOf(message);
  if (body == nullptr) return body_size == 0 ? FrameStatus::kMessage : FrameStatus::kMalformed;
  body->resize(body_size);
  evbuffer_remove(input, body->data(), body_size);
  return FrameStatus::kMessage;
}

}  // namespace camphorhoist
