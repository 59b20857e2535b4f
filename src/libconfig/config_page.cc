#include "camphorhoist/config_page.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "camphorhoist/content_hash.h"
#include "libconfig/json_reader.h"
#include "libconfig/stored_record.h"

namespace camphorhoist {

namespace {

bool KeyLess(const StoredRecord& a, const StoredRecord& b) {
  return a.record.key() < b.record.key();
}

}  // namespace

size_t PageIndexOf(const RecordKey& key) {
  const std::string text = key.ToString();
  return XXH64(text.data(), text.size(), 0) % kPageCount;
}

std::string PageObjectKey(const std::string& hash) { return "config/page/" + hash; }

ConfigPage::ConfigPage(std::vector<StoredRecord> records) : records_(std::move(records)) {
  std::sort(records_.begin(), records_.end(), KeyLess);
  records_.shrink_to_fit();
  const std::string body = Encode();
  hash_ = ContentHash(body);
  encoded_bytes_ = body.size();
}

const ConfigPage::Ptr& ConfigPage::Empty() {
  static const Ptr kEmpty = std::make_shared<const ConfigPage>(std::vector<StoredRecord>());
  return kEmpty;
}

const StoredRecord* ConfigPage::Find(const RecordKey& key) const {
  const auto it = std::lower_bound(
      records_.begin(), records_.end(), key,
      [](const StoredRecord& a, const RecordKey& b) { return a.record.key() < b; });
  return it != records_.end() && it->record.key() == key ? &*it : nullptr;
}

std::string ConfigPage::Encode() const {
  return "{\"records\":" + EncodeStoredRecords(records_) + "}";
}

ConfigPage::Ptr ConfigPage::Decode(size_t index, const std::string& body, const std::string& place,
                                   Findings* findings) {
  Findings errors;
  std::vector<StoredRecord> records;
  if (body.size() > kMaxConfigObjectBytes) {
    errors.Add(place, "is larger than 1000000 bytes");
  } else if (const auto value = ParseJson(body, place, &errors, DuplicateFieldCheck::kOff)) {
    JsonReader reader(*value, place, &errors);
    if (const nlohmann::json* items = reader.RequiredArray("records")) {
      records = DecodeStoredRecords(*items, reader.PlaceOf("records"), &errors);
    }
    reader.Finish();
  }
  for (const StoredRecord& it : records) {
    if (PageIndexOf(it.record.key()) == index) continue;
    errors.Add(place,
               it.record.key().ToString() + " does not belong to page " + std::to_string(index));
  }
  Ptr page;
  if (errors.empty()) {
    page = std::make_shared<const ConfigPage>(std::move(records));
    // `hash` is that of the canonical encoding, so any other encoding of the same records differs.
    if (page->hash() != ContentHash(body)) errors.Add(place, "is not in canonical form");
  }
  findings->Append(errors);
  return errors.empty() ? page : nullptr;
}

}  // namespace camphorhoist
