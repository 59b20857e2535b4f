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
/// Limits of one record. The platform holds values up to 1 MB, and a page holds many records.
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

/// "service", "endpoint" or "route".
const char* ToString(RecordKind kind);
/// The inverse of `ToString`; nothing for any other text.
std::optional<RecordKind> ParseRecordKind(std::string_view text);
/// True for 1 to 128 characters of `[a-z0-9._-]`.
bool IsValidName(std::string_view name);

/// Identity of a record within the configuration.
struct RecordKey {
  RecordKind kind = RecordKind::kService;
  std::string name;

  /// "kind/name".
  std::string ToString() const;
  /// Parses the form of `ToString`; nothing if the text has another form.
  static std::optional<RecordKey> Parse(const std::string& text);

  friend bool operator==(const RecordKey& a, const RecordKey& b) {
    return std::tie(a.kind, a.name) == std::tie(b.kind, b.name);
  }
  friend bool operator!=(const RecordKey& a, const RecordKey& b) { return !(a == b); }
  friend bool operator<(const RecordKey& a, const RecordKey& b) {
    return std::tie(a.kind, a.name) < std::tie(b.kind, b.name);
  }
};

/// Settings of a service record; the default value applies where a field is absent.
struct ServiceSettings {
  /// Time allowed for a call, in milliseconds.
  int64_t timeout_ms = kDefaultTimeoutMs;
  /// Longest accepted wait in the admission queue, in milliseconds.
  int64_t max_queue_ms = kDefaultMaxQueueMs;
  bool hedge = false;
};

/// Settings of one upstream server. An upstream without a record uses `enabled` and the default
/// weight.
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

/// Settings of a route in the form of schema 2.
struct RouteSettings {
  /// Starts with "/". Matches whole path segments: "/a" matches "/a" and "/a/b" but not "/ab".
  std::string path_prefix;
  /// Upper-case methods in ascending order; empty for all methods.
  std::vector<std::string> methods;
  /// Lower case without a port; empty for all hosts.
  std::string host;
  std::vector<Destination> destinations;
  /// Nothing: the largest timeout of the destination services applies. In milliseconds.
  std::optional<int64_t> timeout_ms;
  /// Methods counted as idempotent, in ascending order.
  std::vector<std::string> idempotent;
  /// -1000 to 1000; the higher value wins between equal prefixes.
  int64_t priority = 0;
};

/// One valid configuration record as the operator wrote it. Copies share their data.
///
/// Immutable value type. Thread safety: distinct objects may be used from distinct threads.
class Record {
 public:
  using Settings = std::variant<ServiceSettings, EndpointSettings, RouteSettings>;

  /// Parses one JSON object. Adds findings and returns nothing if it is invalid.
  static std::optional<Record> Parse(const std::string& text, const std::string& place,
                                     Findings* findings);

  RecordKind kind() const { return data_->key.kind; }
  const std::string& name() const { return data_->key.name; }
  const RecordKey& key() const { return data_->key; }
  int schema() const { return data_->schema; }
  /// The whole record, with schema, kind and name, as JSON with sorted fields and no blanks.
  const std::string& body() const { return data_->body; }

  /// Precondition of each: the record has this kind.
  const ServiceSettings& service() const { return std::get<ServiceSettings>(data_->settings); }
  const EndpointSettings& endpoint() const { return std::get<EndpointSettings>(data_->settings); }
  const RouteSettings& route() const { return std::get<RouteSettings>(data_->settings); }

  /// This record in the newest schema of its kind. Nothing is lost: `Downgraded` restores it.
  Record Upgraded() const;
  /// This record in schema 1, or nothing where schema 1 cannot express it.
  std::optional<Record> Downgraded() const;

  /// Bytes held by the shared data of this record, estimated.
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

/// A record with the configuration number at which it was last changed.
struct StoredRecord {
  Record record;
  uint64_t version = 0;

  friend bool operator==(const StoredRecord& a, const StoredRecord& b) {
    return a.version == b.version && a.record == b.record;
  }
  friend bool operator!=(const StoredRecord& a, const StoredRecord& b) { return !(a == b); }
};

/// Parses a JSON array of records or `{"records": [...]}`. Collects every fault with its place;
/// `place` names the input. Returns the valid records, also when findings were added.
std::vector<Record> ParseRecords(const std::string& text, const std::string& place,
                                 Findings* findings);

/// Checks the references and matches of a whole record set and collects every fault. Places have
/// the form "kind/name.field".
void Validate(const std::vector<Record>& records, Findings* findings);

/// JSON pointer of the first field, in field order, that differs between the two records; empty if
/// they are equal.
std::string FirstDifference(const Record& a, const Record& b);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_RECORD_H_
