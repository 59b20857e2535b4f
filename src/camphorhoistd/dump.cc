#include <sys/resource.h>

#include <nlohmann/json.hpp>
#include <string>

#include "camphorhoist/version.h"
#include "camphorhoistd/operator_task.h"

namespace camphorhoist {

namespace {

using Json = nlohmann::json;

Json ProcessToJson(const OperatorTask::Sources& sources) {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto micros = [](const timeval& tv) {
    return static_cast<int64_t>(tv.tv_sec) * 1000000 + tv.tv_usec;
  };
  return {{"version", CAMPHORHOIST_VERSION_STRING},
          {"mesh", sources.identity->mesh},
          {"node", sources.identity->address.ToString()},
          {"incarnation", sources.identity->incarnation},
          {"data_centre", sources.settings->data_centre},
          {"region", sources.settings->region},
          {"draining", sources.draining()},
          {"cpu_micros", micros(usage.ru_utime) + micros(usage.ru_stime)},
          {"max_resident_kb", usage.ru_maxrss}};
}

Json ConfigToJson(const ConfigTask& config) {
  const Replica& replica = config.replica();
  const ConfigTask::Counters& counters = config.counters();
  Json json = {{"version", replica.current()->version().ToString()},
               {"hash", replica.current()->hash()},
               {"floor", config.distribution().floor().ToString()},
               {"floor_settled", config.distribution().floor_settled()},
               {"may_serve", config.MayServe()},
               {"records", replica.current()->record_count()},
               {"watching", config.distribution().watching()},
               {"pulls", counters.pulls},
               {"pulls_full", counters.pulls_full},
               {"pull_bytes", counters.pull_bytes},
               {"platform_loads", counters.platform_loads},
               {"refused_versions", counters.refused_versions}};
  if (replica.last_refusal()) {
    json["last_refusal"] = {{"version", replica.last_refusal()->version.ToString()},
                            {"reason", replica.last_refusal()->reason}};
  }
  return json;
}

Json MembersToJson(const MemberTask& member) {
  const MembershipCounters& counters = member.membership().counters();
  return {{"live", member.membership().LiveCount()},
          {"joined", member.membership().joined()},
          {"datagram_bytes_sent", member.socket().sent_bytes()},
          {"datagram_bytes_received", member.socket().received_bytes()},
          {"datagrams_dropped", member.socket().dropped()},
          {"malformed", member.malformed_datagrams()},
          {"wrong_mesh", counters.wrong_mesh},
          {"suspicions_raised", counters.suspicions_raised},
          {"deaths_declared", counters.deaths_declared},
          {"refutations", counters.refutations},
          {"pauses_seen", counters.pauses_seen},
          {"messages_in", counters.messages_in},
          {"messages_out", counters.messages_out}};
}

Json EndpointsToJson(const EndpointTable& table) {
  Json services = Json::object();
  for (const std::string& service : table.Services()) {
    for (const EndpointRef& it : *table.Find(service)) {
      services[service].push_back({{"upstream", it.info.upstream.ToString()},
                                   {"node", it.node.ToString()},
                                   {"data_centre", it.data_centre},
                                   {"slots", it.info.slots}});
    }
  }
  return services;
}

Json CallsToJson(const CallTask& calls) {
  const CallTask::Counters& counters = calls.counters();
  Json balancer = Json::array();
  for (const Balancer::View& it : calls.balancer().Views(std::chrono::steady_clock::now())) {
    balancer.push_back({{"service", it.endpoint.service},
                        {"upstream", it.endpoint.upstream.ToString()},
                        {"in_flight", it.in_flight},
                        {"latency_micros", it.latency_micros},
                        {"ejected", it.ejected}});
  }
  return {{"in_flight", calls.calls()},    {"received", counters.received},
          {"answered", counters.answered}, {"not_run", counters.not_run},
          {"unknown", counters.unknown},   {"abandoned", counters.abandoned},
          {"attempts", counters.attempts}, {"endpoints", std::move(balancer)}};
}

Json UpstreamsToJson(const UpstreamTask& upstreams) {
  const UpstreamTask::Counters& counters = upstreams.counters();
  Json list = Json::array();
  for (const UpstreamTask::View& it : upstreams.Views()) {
    list.push_back({{"service", it.announcement.service},
                    {"upstream", it.announcement.address.ToString()},
                    {"state", ToString(it.announcement.state)},
                    {"slots", it.announcement.slots},
                    {"limit", it.limit},
                    {"running", it.running},
                    {"queued", it.queued},
                    {"connections", it.connections},
                    {"connections_opened", it.connections_opened},
                    {"ledger_entries", it.ledger_entries}});
  }
  return {{"in_flight", upstreams.calls()}, {"offered", counters.offered},
          {"refused", counters.refused},    {"started", counters.started},
          {"answered", counters.answered},  {"broken", counters.broken},
          {"upstreams", std::move(list)}};
}

Json PlatformToJson(const StoreCallMeter& meter) {
  Json json = Json::object();
  for (size_t i = 0; i < kStoreCallKinds; ++i) {
    const auto call = static_cast<StoreCall>(i);
    const StoreCallStats stats = meter.Stats(call);
    json[StoreCallName(call)] = {{"calls", stats.calls},     {"failures", stats.failures},
                                 {"refused", stats.refused}, {"mean_ms", stats.mean_ms},
                                 {"p99_ms", stats.p99_ms},   {"max_ms", stats.max_ms}};
  }
  return json;
}

}  // namespace

std::string DumpToJson(const OperatorTask::Sources& sources) {
  const Json dump = {{"process", ProcessToJson(sources)},
                     {"config", ConfigToJson(*sources.config)},
                     {"members", MembersToJson(*sources.member)},
                     {"endpoints", EndpointsToJson(sources.member->endpoints())},
                     {"calls", CallsToJson(*sources.calls)},
                     {"upstreams", UpstreamsToJson(*sources.upstreams)},
                     {"platform", PlatformToJson(*sources.platform)},
                     {"node_connections",
                      {{"inbound", sources.server->connections()},
                       {"outbound", sources.peers->connections()},
                       {"rejected", sources.server->rejected()},
                       {"bytes_received", sources.traffic->bytes_received},
                       {"bytes_sent", sources.traffic->bytes_sent}}}};
  return dump.dump();
}

}  // namespace camphorhoist
