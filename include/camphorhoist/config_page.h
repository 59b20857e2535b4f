#ifndef CAMPHORHOIST_CONFIG_PAGE_H_
#define CAMPHORHOIST_CONFIG_PAGE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "camphorhoist/finding.h"
#include "camphorhoist/record.h"

namespace camphorhoist {

/// Number of pages into which the records of the configuration are partitioned.
constexpr size_t kPageCount = 64;
/// Size limit of one object in the platform's object store, in bytes.
constexpr size_t kMaxConfigObjectBytes = 1'000'000;
/// Length of a content hash in hexadecimal digits.
constexpr size_t kHashLength = 64;

/// Index of the page that holds the record: XXH64 of "kind/name" with seed 0, modulo `kPageCount`.
size_t PageIndexOf(const RecordKey& key);

/// Key of a page object in the platform's object store.
std::string PageObjectKey(const std::string& hash);

/// The records of one page in key order, with the content hash of their encoded form.
///
/// Immutable. Thread safety: distinct objects may be used from distinct threads.
class ConfigPage {
 public:
  using Ptr = std::shared_ptr<const ConfigPage>;

  /// Precondition: the records belong to one page and have distinct keys.
  explicit ConfigPage(std::vector<StoredRecord> records);

  /// The page without records. All calls return the same object.
  static const Ptr& Empty();
  /// Decodes the body of page `index`. Adds findings and returns null unless `body` is exactly what
  /// `Encode` would write for a page with that index.
  static Ptr Decode(size_t index, const std::string& body, const std::string& place,
                    Findings* findings);

  const std::vector<StoredRecord>& records() const { return records_; }
  /// `ContentHash` of the encoded page.
  const std::string& hash() const { return hash_; }
  /// Size of the encoded page, in bytes.
  size_t encoded_bytes() const { return encoded_bytes_; }
  /// Null if the page has no such record.
  const StoredRecord* Find(const RecordKey& key) const;
  /// Encodes the body of the page object: JSON with sorted fields and no whitespace.
  std::string Encode() const;

 private:
  std::vector<StoredRecord> records_;
  std::string hash_;
  size_t encoded_bytes_ = 0;
};

/// All pages of a configuration by index. No entry is null in a complete configuration.
using ConfigPages = std::array<ConfigPage::Ptr, kPageCount>;

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CONFIG_PAGE_H_
