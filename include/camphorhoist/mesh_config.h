#ifndef CAMPHORHOIST_MESH_CONFIG_H_
#define CAMPHORHOIST_MESH_CONFIG_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace camphorhoist {

/// Determines how often a request of a route may be executed, and whether its response is large.
enum class RequestKind : uint8_t {
  kIdempotent,
  /// Executed at most once per attempt of a caller.
  kNonIdempotent,
  /// Idempotent, with a large response.
  kBulk,
};

/// Destination of a route with its share of the route's traffic.
struct WeightedService {
  std::string service;
  double weight = 1;

  friend bool operator==(const WeightedService& a, const WeightedService& b) {
    return std::tie(a.service, a.weight) == std::tie(b.service, b.weight);
  }
};

/// A route of the sidecar's configuration.
struct MeshRoute {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  /// Maximum time until the final response.
  std::chrono::microseconds timeout{};
  /// Latency objective of a response.
  std::chrono::microseconds objective{};
  /// 0 is the most urgent.
  int priority = 0;
  /// Maximum number of servers that one attempt of a caller may be sent to.
  int max_servers = 1;
  /// At least one.
  std::vector<WeightedService> destinations;
  /// Requests are accepted without a key of an organisation.
  bool is_public = false;

  bool idempotent() const { return kind != RequestKind::kNonIdempotent; }

  friend bool operator==(const MeshRoute& a, const MeshRoute& b) {
    return std::tie(a.name, a.host, a.path_prefix, a.kind, a.timeout, a.objective, a.priority,
                    a.max_servers, a.destinations, a.is_public) ==
           std::tie(b.name, b.host, b.path_prefix, b.kind, b.timeout, b.objective, b.priority,
                    b.max_servers, b.destinations, b.is_public);
  }
};

/// A service of the sidecar's configuration.
struct MeshService {
  std::string name;
  std::string health_path;
  /// Maximum number of connections that one server accepts from all clients.
  uint32_t max_connections = 0;

  friend bool operator==(const MeshService& a, const MeshService& b) {
    return std::tie(a.name, a.health_path, a.max_connections) ==
           std::tie(b.name, b.health_path, b.max_connections);
  }
};

/// An organisation whose callers authenticate with API keys.
struct MeshOrganisation {
  std::string name;
  /// Secrets: must not be logged, exported in metrics or sent to another process.
  std::vector<std::string> keys;
  /// Overrides the priority of the route; empty if the route's priority applies.
  std::optional<int> priority;
  /// Limit on the requests of the organisation over all VMs; 0: no limit.
  double requests_per_second = 0;
  /// Number of requests that may exceed the rate at once.
  double burst = 0;

  friend bool operator==(const MeshOrganisation& a, const MeshOrganisation& b) {
    return std::tie(a.name, a.keys, a.priority, a.requests_per_second, a.burst) ==
           std::tie(b.name, b.keys, b.priority, b.requests_per_second, b.burst);
  }
};

/// Limits on the size and the duration of callers' requests.
struct CallerLimits {
  size_t max_header_bytes = 16 << 10;
  size_t max_body_bytes = 64 << 20;
  /// Time from the start of a request until it has arrived completely, including its body.
  std::chrono::microseconds header_timeout = std::chrono::seconds(10);
  /// Time without a request after which a connection is closed.
  std::chrono::microseconds idle_timeout = std::chrono::seconds(60);

  friend bool operator==(const CallerLimits& a, const CallerLimits& b) {
    return std::tie(a.max_header_bytes, a.max_body_bytes, a.header_timeout, a.idle_timeout) ==
           std::tie(b.max_header_bytes, b.max_body_bytes, b.header_timeout, b.idle_timeout);
  }
};

/// A complete version of the configuration that sidecars apply.
///
/// Immutable. Thread safety: const functions may be called from several threads.
class MeshConfig {
 public:
  /// Preconditions: no two routes have the same host and path prefix; no two organisations have the
  /// same name or a key in common.
  MeshConfig(uint64_t version, std::vector<MeshRoute> routes, std::vector<MeshService> services,
             CallerLimits limits, std::vector<MeshOrganisation> organisations = {});
  MeshConfig(const MeshConfig&) = delete;
  MeshConfig& operator=(const MeshConfig&) = delete;

  uint64_t version() const { return version_; }
  const std::vector<MeshRoute>& routes() const { return routes_; }
  const std::vector<MeshService>& services() const { return services_; }
  const CallerLimits& limits() const { return limits_; }
  /// Empty if the deployment has no organisations; requests then need no key.
  const std::vector<MeshOrganisation>& organisations() const { return organisations_; }

  /// Returns the route with the longest path prefix that matches `target`, or nullptr. The port of
  /// `host` and the query of `target` are ignored; the host is case-insensitive.
  const MeshRoute* Match(std::string_view host, std::string_view target) const;
  /// Returns nullptr if there is no service of this name.
  const MeshService* FindService(const std::string& name) const;
  /// Longest timeout of a route; 0 without routes.
  std::chrono::microseconds longest_timeout() const { return longest_timeout_; }
  /// Returns nullptr if no organisation has this key. Takes constant time on average, regardless of
  /// the number of keys.
  const MeshOrganisation* FindOrganisationByKey(std::string_view key) const;

 private:
  uint64_t version_;
  std::vector<MeshRoute> routes_;
  std::vector<MeshService> services_;
  CallerLimits limits_;
  std::vector<MeshOrganisation> organisations_;
  std::chrono::microseconds longest_timeout_{};
  std::unordered_map<std::string, std::unordered_map<std::string, const MeshRoute*>> by_host_;
  /// The keys refer to strings of `organisations_`.
  std::unordered_map<std::string_view, const MeshOrganisation*> by_key_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_MESH_CONFIG_H_
