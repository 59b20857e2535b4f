#include "libconfig/stored_record.h"

#include <limits>
#include <optional>
#include <set>
#include <utility>

#include "libconfig/json_reader.h"
#include "libconfig/record_builder.h"

namespace camphorhoist {

std::string EncodeStoredRecords(const std::vector<StoredRecord>& records) {
  std::string text = "[";
  for (const StoredRecord& it : records) {
    if (text.size() > 1) text += ',';
    text += "{\"record\":";
    text += it.record.body();
    text += ",\"version\":";
    text += std::to_string(it.version);
    text += '}';
  }
  text += ']';
  return text;
}

std::vector<StoredRecord> DecodeStoredRecords(const nlohmann::json& items, const std::string& place,
                                              Findings* findings) {
  std::vector<StoredRecord> records;
  std::set<RecordKey> keys;
  for (size_t n = 0; n < items.size(); ++n) {
    const std::string item_place = place + "[" + std::to_string(n) + "]";
    JsonReader reader(items[n], item_place, findings);
    const nlohmann::json* value = reader.RequiredValue("record");
    const int64_t version =
        reader.RequiredInteger("version", 1, std::numeric_limits<int64_t>::max());
    reader.Finish();
    if (value == nullptr) continue;
    std::optional<Record> record = RecordBuilder::Build(*value, reader.PlaceOf("record"), findings);
    if (!record) continue;
    if (!keys.insert(record->key()).second) {
      findings->Add(item_place, record->key().ToString() + " occurs more than once");
      continue;
    }
    records.push_back({std::move(*record), static_cast<uint64_t>(version)});
  }
  return records;
}

}  // namespace camphorhoist
