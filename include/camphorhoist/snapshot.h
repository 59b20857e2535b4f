#ifndef CAMPHORHOIST_SNAPSHOT_H_
#define CAMPHORHOIST_SNAPSHOT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "camphorhoist/config_page.h"
#include "camphorhoist/config_version.h"
#include "camphorhoist/finding.h"
#include "camphorhoist/record.h"

namespace camphorhoist {

/// A route whose timeout is resolved against the services of its snapshot.
///
/// Immutable value type. Thread safety: distinct objects may be used from distinct threads.
class Route {
 public:
  /// `record` is a route record of any schema; `default_timeout_ms` applies if it sets no timeout.
  Route(Record record, int64_t default_timeout_ms);

  const std::string& name() const { return record_.name(); }
  const RouteSettings& settings() const { return record_.route(); }
  const std::vector<Destination>& destinations() const { return settings().destinations; }
  /// Timeout of a call, in milliseconds.
  int64_t timeout_ms() const { return timeout_ms_; }
  /// Whether the route matches the method and the host, which must not carry a port; the path is
  /// not checked.
  bool Matches(std::string_view method, std::string_view host) const;
  bool IsIdempotent(std::string_view method) const;

 private:
  Record record_;
  int64_t timeout_ms_;
};

/// Result of `Snapshot::MatchRoute`. Valid while the snapshot exists.
struct RouteMatch {
  const Route* route = nullptr;
  /// Whether the route treats the method of the request as idempotent.
  bool idempotent = false;

  const std::vector<Destination>& destinations() const { return route->destinations(); }
  int64_t timeout_ms() const { return route->timeout_ms(); }
};

/// One complete, validated configuration. Snapshots built from one another share unchanged pages
/// and indexes.
///
/// Immutable. Thread safety: distinct objects may be used from distinct threads.
class Snapshot {
 public:
  using Ptr = std::shared_ptr<const Snapshot>;

  /// The configuration without records; its version is `none()`.
  static const Ptr& Empty();
  /// Builds and validates a whole configuration. On any error, adds findings and returns null.
  /// Errors include a duplicate record, a record version of 0 or above `version.number()`, and a
  /// page that exceeds the size limit.
  static Ptr Build(const ConfigVersion& version, const std::vector<StoredRecord>& records,
                   Findings* findings);
  /// Like `Build`, but from decoded pages. Shares the indexes of `base` that are still valid;
  /// `base` may be null.
  static Ptr FromPages(const ConfigVersion& version, ConfigPages pages, const Snapshot* base,
                       Findings* findings);
  /// Builds this configuration with the given changes, encoding and hashing only the changed pages.
  /// On any error, adds findings and returns null. Errors include the removal of a record that does
  /// not exist.
  Ptr WithChanges(const ConfigVersion& version, const std::vector<StoredRecord>& upserts,
                  const std::vector<RecordKey>& removals, Findings* findings) const;

  const ConfigVersion& version() const { return version_; }
  /// SHA-256 of the 64 page hashes in page order. It covers the records and their versions, but not
  /// `version()`.
  const std::string& hash() const { return hash_; }
  const ConfigPages& pages() const { return pages_; }
  /// Highest record schema in use; 1 without records.
  int schema() const;
  size_t record_count() const;
  /// All records in key order.
  std::vector<StoredRecord> records() const;
  /// Null if there is no such record.
  const StoredRecord* Find(const RecordKey& key) const;
  const ServiceSettings* FindService(const std::string& name) const;
  const EndpointSettings* FindEndpoint(const std::string& name) const;
  /// Settings of the upstream that announces `address`; null if it has no endpoint record.
  const EndpointSettings* FindEndpointByAddress(const std::string& service,
                                                const NetAddress& address) const;
  std::vector<std::string> ServiceNames() const;

  /// Routes sorted by path prefix, then in order of preference.
  const std::vector<Route>& routes() const { return *routes_; }
  /// Finds the route for a request. Prefers the longest path prefix, then the highest priority,
  /// then a route that names the host, then one that names the method. `host` may carry a port and
  /// `path` a query or a fragment.
  std::optional<RouteMatch> MatchRoute(std::string_view method, std::string_view host,
                                       std::string_view path) const;

  /// Estimate of the memory of this snapshot that it does not share with `other`, in bytes; `other`
  /// may be null.
  size_t MemoryBytes(const Snapshot* other) const;

 private:
  /// Routes in the order of `routes()`.
  using RouteIndex = std::vector<Route>;
  /// Endpoint records sorted by service and address.
  using AddressIndex = std::vector<Record>;

  Snapshot() = default;
  /// The pointers are valid while the pages exist.
  std::vector<const Record*> AllRecords() const;
  void ComputeHash();
  /// Builds the route and address indexes, or shares those of `base` if it is not null and no
  /// record that they depend on differs.
  void BuildIndexes(const Snapshot* base);

  ConfigVersion version_;
  std::string hash_;
  ConfigPages pages_;
  std::shared_ptr<const RouteIndex> routes_;
  /// Length of the longest path prefix of any route.
  size_t longest_prefix_ = 0;
  std::shared_ptr<const AddressIndex> addresses_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_SNAPSHOT_H_
