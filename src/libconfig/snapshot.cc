#include "camphorhoist/snapshot.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <tuple>
#include <utility>

#include "camphorhoist/content_hash.h"
#include "libconfig/validation.h"

namespace camphorhoist {

namespace {

using KindFlags = std::array<bool, 3>;

/// Sets the flag of each kind of which `page` has a record that is absent from `other` or differs.
void MarkChangedKinds(const ConfigPage& page, const ConfigPage& other, KindFlags* changed) {
  for (const StoredRecord& it : page.records()) {
    const StoredRecord* counterpart = other.Find(it.record.key());
    if (counterpart == nullptr || counterpart->record != it.record) {
      (*changed)[static_cast<size_t>(it.record.kind())] = true;
    }
  }
}

/// Kinds of the records that were added, removed or changed between the two page sets.
KindFlags ChangedKinds(const ConfigPages& a, const ConfigPages& b) {
  KindFlags changed = {};
  for (size_t n = 0; n < kPageCount; ++n) {
    if (a[n] == b[n] || a[n]->hash() == b[n]->hash()) continue;
    MarkChangedKinds(*a[n], *b[n], &changed);
    MarkChangedKinds(*b[n], *a[n], &changed);
  }
  return changed;
}

bool IsChanged(const KindFlags& changed, RecordKind kind) {
  return changed[static_cast<size_t>(kind)];
}

void CheckPages(const ConfigPages& pages, const ConfigVersion& version, Findings* findings) {
  for (size_t n = 0; n < kPageCount; ++n) {
    if (pages[n]->encoded_bytes() > kMaxConfigObjectBytes) {
      findings->Add("page " + std::to_string(n), "would be larger than 1000000 bytes");
    }
    for (const StoredRecord& it : pages[n]->records()) {
      if (it.version > 0 && it.version <= version.number()) continue;
      findings->Add(it.record.key().ToString(), "has version " + std::to_string(it.version) +
                                                    ", which must be from 1 to " +
                                                    std::to_string(version.number()));
    }
  }
}

std::string_view StripPort(std::string_view host) { return host.substr(0, host.find(':')); }

std::string_view StripQuery(std::string_view path) {
  return path.substr(0, path.find_first_of("?#"));
}

/// Returns the next shorter prefix that ends at a segment boundary, as in "/a/b", "/a/", "/a", "/".
/// Returns an empty view for "/".
std::string_view NextShorterPrefix(std::string_view path) {
  if (path.size() <= 1) return {};
  if (path.back() == '/') return path.substr(0, path.size() - 1);
  return path.substr(0, path.rfind('/') + 1);
}

/// Sort key: path prefix, then order of preference (higher priority, named host, named methods).
/// The name makes the order total.
auto RouteSortKey(const RouteSettings& route, const std::string& name) {
  return std::make_tuple(std::cref(route.path_prefix), -route.priority, route.host.empty(),
                         route.methods.empty(), std::cref(name));
}

bool RouteLess(const Route& a, const Route& b) {
  return RouteSortKey(a.settings(), a.name()) < RouteSortKey(b.settings(), b.name());
}

auto AddressKey(const Record& record) {
  return std::tie(record.endpoint().service, record.endpoint().address);
}

}  // namespace

Route::Route(Record record, int64_t default_timeout_ms)
    : record_(std::move(record)),
      timeout_ms_(record_.route().timeout_ms.value_or(default_timeout_ms)) {}

bool Route::Matches(std::string_view method, std::string_view host) const {
  const RouteSettings& it = settings();
  const bool host_matches =
      it.host.empty() ||
      std::equal(host.begin(), host.end(), it.host.begin(), it.host.end(),
                 [](char a, char b) { return (a >= 'A' && a <= 'Z' ? a - 'A' + 'a' : a) == b; });
  if (!host_matches) return false;
  return it.methods.empty() || std::binary_search(it.methods.begin(), it.methods.end(), method);
}

bool Route::IsIdempotent(std::string_view method) const {
  const std::vector<std::string>& methods = settings().idempotent;
  return std::binary_search(methods.begin(), methods.end(), method);
}

const Snapshot::Ptr& Snapshot::Empty() {
  static const Ptr kEmpty = [] {
    std::shared_ptr<Snapshot> snapshot(new Snapshot());
    snapshot->pages_.fill(ConfigPage::Empty());
    snapshot->ComputeHash();
    snapshot->BuildIndexes(nullptr);
    return snapshot;
  }();
  return kEmpty;
}

Snapshot::Ptr Snapshot::Build(const ConfigVersion& version,
                              const std::vector<StoredRecord>& records, Findings* findings) {
  std::array<std::vector<StoredRecord>, kPageCount> by_page;
  for (const StoredRecord& it : records) by_page[PageIndexOf(it.record.key())].push_back(it);
  ConfigPages pages;
  for (size_t n = 0; n < kPageCount; ++n) {
    pages[n] = by_page[n].empty() ? ConfigPage::Empty()
                                  : std::make_shared<const ConfigPage>(std::move(by_page[n]));
  }
  return FromPages(version, std::move(pages), nullptr, findings);
}

Snapshot::Ptr Snapshot::FromPages(const ConfigVersion& version, ConfigPages pages,
                                  const Snapshot* base, Findings* findings) {
  std::shared_ptr<Snapshot> snapshot(new Snapshot());
  snapshot->version_ = version;
  snapshot->pages_ = std::move(pages);
  Findings errors;
  if (version.none()) errors.Add("version", "must not be 0.0");
  CheckPages(snapshot->pages_, version, &errors);
  ValidateRecords(snapshot->AllRecords(), &errors);
  findings->Append(errors);
  if (!errors.empty()) return nullptr;
  snapshot->ComputeHash();
  snapshot->BuildIndexes(base);
  return snapshot;
}

Snapshot::Ptr Snapshot::WithChanges(const ConfigVersion& version,
                                    const std::vector<StoredRecord>& upserts,
                                    const std::vector<RecordKey>& removals,
                                    Findings* findings) const {
  Findings errors;
  std::map<size_t, std::vector<StoredRecord>> changed_pages;
  const auto editable_page = [this, &changed_pages](const RecordKey& key) {
    const size_t n = PageIndexOf(key);
    return &changed_pages.emplace(n, pages_[n]->records()).first->second;
  };
  const auto find_record = [](std::vector<StoredRecord>* page, const RecordKey& key) {
    return std::find_if(page->begin(), page->end(),
                        [&key](const StoredRecord& it) { return it.record.key() == key; });
  };
  for (const RecordKey& it : removals) {
    std::vector<StoredRecord>* page = editable_page(it);
    const auto position = find_record(page, it);
    if (position == page->end()) {
      errors.Add(it.ToString(), "does not exist and cannot be removed");
    } else {
      page->erase(position);
    }
  }
  for (const StoredRecord& it : upserts) {
    std::vector<StoredRecord>* page = editable_page(it.record.key());
    const auto position = find_record(page, it.record.key());
    if (position == page->end()) {
      page->push_back(it);
    } else {
      *position = it;
    }
  }
  ConfigPages pages = pages_;
  for (auto& [n, records] : changed_pages) {
    pages[n] = records.empty() ? ConfigPage::Empty()
                               : std::make_shared<const ConfigPage>(std::move(records));
  }
  Ptr snapshot = FromPages(version, std::move(pages), this, &errors);
  findings->Append(errors);
  return errors.empty() ? snapshot : nullptr;
}

void Snapshot::ComputeHash() {
  std::string hashes;
  hashes.reserve(kPageCount * kHashLength);
  for (const ConfigPage::Ptr& it : pages_) hashes += it->hash();
  hash_ = ContentHash(hashes);
}

void Snapshot::BuildIndexes(const Snapshot* base) {
  KindFlags changed = {true, true, true};
  if (base != nullptr) changed = ChangedKinds(base->pages_, pages_);
  const bool share_routes =
      !IsChanged(changed, RecordKind::kRoute) && !IsChanged(changed, RecordKind::kService);
  const bool share_addresses = !IsChanged(changed, RecordKind::kEndpoint);
  auto routes = std::make_shared<RouteIndex>();
  auto addresses = std::make_shared<AddressIndex>();
  for (const ConfigPage::Ptr& page : pages_) {
    for (const StoredRecord& it : page->records()) {
      const RecordKind kind = it.record.kind();
      if (kind == RecordKind::kEndpoint && !share_addresses) addresses->push_back(it.record);
      if (kind != RecordKind::kRoute || share_routes) continue;
      int64_t timeout_ms = 0;
      for (const Destination& destination : it.record.route().destinations) {
        timeout_ms = std::max(timeout_ms, FindService(destination.service)->timeout_ms);
      }
      routes->emplace_back(it.record, timeout_ms);
    }
  }
  std::sort(routes->begin(), routes->end(), RouteLess);
  std::sort(addresses->begin(), addresses->end(),
            [](const Record& a, const Record& b) { return AddressKey(a) < AddressKey(b); });
  routes->shrink_to_fit();
  addresses->shrink_to_fit();
  for (const Route& it : share_routes ? *base->routes_ : *routes) {
    longest_prefix_ = std::max(longest_prefix_, it.settings().path_prefix.size());
  }
  routes_ = share_routes ? base->routes_ : std::move(routes);
  addresses_ = share_addresses ? base->addresses_ : std::move(addresses);
}

std::vector<const Record*> Snapshot::AllRecords() const {
  std::vector<const Record*> records;
  records.reserve(record_count());
  for (const ConfigPage::Ptr& page : pages_) {
    for (const StoredRecord& it : page->records()) records.push_back(&it.record);
  }
  return records;
}

std::vector<StoredRecord> Snapshot::records() const {
  std::vector<StoredRecord> records;
  for (const ConfigPage::Ptr& page : pages_) {
    records.insert(records.end(), page->records().begin(), page->records().end());
  }
  std::sort(records.begin(), records.end(), [](const StoredRecord& a, const StoredRecord& b) {
    return a.record.key() < b.record.key();
  });
  return records;
}

int Snapshot::schema() const {
  int schema = 1;
  for (const ConfigPage::Ptr& page : pages_) {
    for (const StoredRecord& it : page->records()) schema = std::max(schema, it.record.schema());
  }
  return schema;
}

size_t Snapshot::record_count() const {
  size_t n = 0;
  for (const ConfigPage::Ptr& it : pages_) n += it->records().size();
  return n;
}

const StoredRecord* Snapshot::Find(const RecordKey& key) const {
  return pages_[PageIndexOf(key)]->Find(key);
}

const ServiceSettings* Snapshot::FindService(const std::string& name) const {
  const StoredRecord* stored = Find({RecordKind::kService, name});
  return stored == nullptr ? nullptr : &stored->record.service();
}

const EndpointSettings* Snapshot::FindEndpoint(const std::string& name) const {
  const StoredRecord* stored = Find({RecordKind::kEndpoint, name});
  return stored == nullptr ? nullptr : &stored->record.endpoint();
}

const EndpointSettings* Snapshot::FindEndpointByAddress(const std::string& service,
                                                        const NetAddress& address) const {
  const auto key = std::tie(service, address);
  const auto it =
      std::lower_bound(addresses_->begin(), addresses_->end(), key,
                       [](const Record& a, const auto& b) { return AddressKey(a) < b; });
  return it != addresses_->end() && AddressKey(*it) == key ? &it->endpoint() : nullptr;
}

std::vector<std::string> Snapshot::ServiceNames() const {
  std::vector<std::string> names;
  for (const ConfigPage::Ptr& page : pages_) {
    for (const StoredRecord& it : page->records()) {
      if (it.record.kind() == RecordKind::kService) names.push_back(it.record.name());
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::optional<RouteMatch> Snapshot::MatchRoute(std::string_view method, std::string_view host,
                                               std::string_view path) const {
  const std::string_view name = StripPort(host);
  std::string_view prefix = StripQuery(path);
  if (prefix.empty() || prefix[0] != '/') return std::nullopt;
  while (prefix.size() > longest_prefix_) prefix = NextShorterPrefix(prefix);
  for (; !prefix.empty(); prefix = NextShorterPrefix(prefix)) {
    auto it = std::lower_bound(
        routes_->begin(), routes_->end(), prefix,
        [](const Route& a, std::string_view b) { return a.settings().path_prefix < b; });
    for (; it != routes_->end() && it->settings().path_prefix == prefix; ++it) {
      if (it->Matches(method, name)) return RouteMatch{&*it, it->IsIdempotent(method)};
    }
  }
  return std::nullopt;
}

size_t Snapshot::MemoryBytes(const Snapshot* other) const {
  size_t n = sizeof(Snapshot) + kHashLength;
  for (size_t i = 0; i < kPageCount; ++i) {
    if (other != nullptr && other->pages_[i] == pages_[i]) continue;
    n += sizeof(ConfigPage) + kHashLength + pages_[i]->records().size() * sizeof(StoredRecord);
    for (const StoredRecord& it : pages_[i]->records()) {
      const StoredRecord* counterpart =
          other == nullptr ? nullptr : other->pages_[i]->Find(it.record.key());
      if (counterpart == nullptr || &counterpart->record.body() != &it.record.body()) {
        n += it.record.MemoryBytes();
      }
    }
  }
  if (other == nullptr || other->routes_ != routes_) n += routes_->capacity() * sizeof(Route);
  if (other == nullptr || other->addresses_ != addresses_) {
    n += addresses_->capacity() * sizeof(Record);
  }
  return n;
}

}  // namespace camphorhoist
