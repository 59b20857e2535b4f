#ifndef CAMPHORHOIST_RECORD_H_
#define CAMPHORHOIST_RECORD_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "camphorhoist/finding.h"
#include "camphorhoist/net_address.h"

namespace camphorhoist {

/// Highest record schema version that this program understands.
constexpr int kMaxSchema = 2;
/// Limits of one record; lengths are in bytes. A page holds many records and must fit into an
/// object of at most 1 MB.
constexpr size_t kMaxRecordBytes = 65'536;
constexpr size_t kMaxNameLength = 128;
constexpr size_t kMaxPathPrefixLength = 1024;
constexpr size_t kMaxHostLength = 253;
constexpr size_t kMaxDestinations = 64;
constexpr int64_t kMaxTimeoutMs = 86'400'000;
constexpr int64_t kMaxWeight = 100;
constexpr int64_t kMaxPriority = 1000;
constexpr int64_t kDefaultTimeoutMs = 2000;
constexpr int64_t kDefaultMaxQueueMs = 500;
constexpr int64_t kDefaultEndpointWeight = 100;

enum class RecordKind { kService, kEndpoint, kRoute };

/// Returns "service", "endpoint" or "route".
const char* ToString(RecordKind kind);
/// Inverse of `ToString`; returns an empty optional for any other text.
std::optional<RecordKind> ParseRecordKind(std::string_view text);
/// True if `name` consists of 1 to 128 characters of `[a-z0-9._-]`.
bool IsValidName(std::string_view name);

/// Identity of a record within the configuration.
struct RecordKey {
  RecordKind kind = RecordKind::kService;
  std::string name;

  /// Formats as "kind/name".
  std::string ToString() const;
  /// Inverse of `ToString`; returns an empty optional if `text` is not a valid key.
  static std::optional<RecordKey> Parse(const std::string& text);

  friend bool operator==(const RecordKey& a, const RecordKey& b) {
    return std::tie(a.kind, a.name) == std::tie(b.kind, b.name);
  }
  friend bool operator!=(const RecordKey& a, const RecordKey& b) { return !(a == b); }
  friend bool operator<(const RecordKey& a, const RecordKey& b) {
    return std::tie(a.kind, a.name) < std::tie(b.kind, b.name);
  }
};

/// Settings of a service record. A field that the record omits has its default value.
struct ServiceSettings {
  /// Timeout of a call, in milliseconds.
  int64_t timeout_ms = kDefaultTimeoutMs;
  /// Maximum time a call may wait in the admission queue, in milliseconds.
  int64_t max_queue_ms = kDefaultMaxQueueMs;
  bool hedge = false;
};

/// Settings of an endpoint record, which configures one upstream server. An upstream without a
/// record is enabled and has the default weight.
struct EndpointSettings {
  std::string service;
  NetAddress address;
  bool enabled = true;
  /// 1 to 100.
  int64_t weight = kDefaultEndpointWeight;
};

/// One target of a route.
struct Destination {
  std::string service;
  /// 1 to 100, relative to the other destinations of the route.
  int64_t weight = 1;
  /// Name of an endpoint record of the service, or empty for any endpoint.
  std::string endpoint;

  friend bool operator==(const Destination& a, const Destination& b) {
    return std::tie(a.service, a.weight, a.endpoint) == std::tie(b.service, b.weight, b.endpoint);
  }
};

/// Settings of a route record. A record of schema 1 has one destination with weight 1.
struct RouteSettings {
  /// Starts with "/". Matches whole path segments: "/a" matches "/a" and "/a/b", but not "/ab".
  std::string path_prefix;
  /// HTTP methods in upper case and in ascending order; empty for all methods.
  std::vector<std::string> methods;
  /// Host name in lower case and without a port; empty for all hosts.
  std::string host;
  std::vector<Destination> destinations;
  /// Timeout of a call, in milliseconds. If empty, the largest timeout of the destination services
  /// applies.
  std::optional<int64_t> timeout_ms;
  /// HTTP methods treated as idempotent, in ascending order.
  std::vector<std::string> idempotent;
  /// -1000 to 1000. Among routes with equal path prefixes, the highest priority wins.
  int64_t priority = 0;
};

/// One valid configuration record, with the fields that the operator wrote. Copies share their
/// data.
///
/// Immutable value type. Thread safety: distinct objects may be used from distinct threads.
class Record {
 public:
  using Settings = std::variant<ServiceSettings, EndpointSettings, RouteSettings>;

  /// Parses one JSON object. Adds findings and returns an empty optional if it is invalid.
  static std::optional<Record> Parse(const std::string& text, const std::string& place,
                                     Findings* findings);

  RecordKind kind() const { return data_->key.kind; }
  const std::string& name() const { return data_->key.name; }
  const RecordKey& key() const { return data_->key; }
  int schema() const { return data_->schema; }
  /// The whole record, including schema, kind and name, as JSON with sorted fields and no
  /// whitespace.
  const std::string& body() const { return data_->body; }

  /// Precondition of each: the record has this kind.
  const ServiceSettings& service() const { return std::get<ServiceSettings>(data_->settings); }
  const EndpointSettings& endpoint() const { return std::get<EndpointSettings>(data_->settings); }
  const RouteSettings& route() const { return std::get<RouteSettings>(data_->settings); }

  /// This record in the newest schema of its kind. The conversion is lossless; `Downgraded` reverts
  /// it.
  Record Upgraded() const;
  /// This record in schema 1; empty if schema 1 cannot express it.
  std::optional<Record> Downgraded() const;

  /// Estimate of the memory of the data that copies of this record share, in bytes.
  size_t MemoryBytes() const;

  friend bool operator==(const Record& a, const Record& b) {
    return a.data_ == b.data_ || a.body() == b.body();
  }
  friend bool operator!=(const Record& a, const Record& b) { return !(a == b); }
  friend bool operator<(const Record& a, const Record& b) {
    return std::tie(a.key(), a.body()) < std::tie(b.key(), b.body());
  }

 private:
  friend class RecordBuilder;
  struct Data {
    RecordKey key;
    int schema = 1;
    std::string body;
    Settings settings;
  };
  explicit Record(std::shared_ptr<const Data> data) : data_(std::move(data)) {}

  std::shared_ptr<const Data> data_;
};

/// A record with the number of the configuration version that last changed it.
struct StoredRecord {
  Record record;
  uint64_t version = 0;

  friend bool operator==(const StoredRecord& a, const StoredRecord& b) {
    return a.version == b.version && a.record == b.record;
  }
  friend bool operator!=(const StoredRecord& a, const StoredRecord& b) { return !(a == b); }
};

/// Parses a JSON array of records or `{"records": [...]}`. Adds a finding for every error; `place`
/// names the input. Returns the valid records even if findings were added.
std::vector<Record> ParseRecords(const std::string& text, const std::string& place,
                                 Findings* findings);

/// Checks a whole record set for duplicate records, references to missing records, duplicate
/// addresses and ambiguous routes. Adds a finding for every error, with a place of the form
/// "kind/name" or "kind/name.field".
void Validate(const std::vector<Record>& records, Findings* findings);

/// Returns the JSON pointer to the first field that differs between the two records, or an empty
/// string if they are equal. Fields are compared in alphabetical order; those that only `b` has
/// come last.
std::string FirstDifference(const Record& a, const Record& b);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_RECORD_H_
