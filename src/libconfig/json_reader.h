#ifndef CAMPHORHOIST_LIBCONFIG_JSON_READER_H_
#define CAMPHORHOIST_LIBCONFIG_JSON_READER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "camphorhoist/finding.h"

namespace camphorhoist {

/// Whether `ParseJson` looks for repeated fields. Input that is compared with a hash of its decoded
/// form does not need the check, which doubles the time of parsing.
enum class RepeatedFieldCheck { kOn, kOff };

/// Parses `text`. A syntax error becomes a finding with line and column, a repeated field of one
/// object a finding with its name; either returns nothing.
std::optional<nlohmann::json> ParseJson(const std::string& text, const std::string& place,
                                        Findings* findings,
                                        RepeatedFieldCheck check = RepeatedFieldCheck::kOn);

/// Reads the fields of one JSON object and collects missing, wrongly typed, out-of-range and
/// unknown fields as findings. A field that is absent or faulty yields the given default.
///
/// Thread safety: none. Precondition: `value` and `findings` outlive the reader.
class JsonReader {
 public:
  /// Adds a finding if `value` is not an object.
  JsonReader(const nlohmann::json& value, std::string place, Findings* findings);

  /// False if the value is not an object; every field then reads as absent, without a finding.
  bool is_object() const { return value_.is_object(); }
  const std::string& place() const { return place_; }
  std::string PlaceOf(const std::string& field) const { return place_ + "." + field; }
  bool Has(const std::string& field) const;

  std::string RequiredString(const std::string& field);
  std::string String(const std::string& field);
  int64_t RequiredInteger(const std::string& field, int64_t min, int64_t max);
  int64_t Integer(const std::string& field, int64_t default_value, int64_t min, int64_t max);
  bool Boolean(const std::string& field, bool default_value);
  /// Strings of an array; nothing if the field is absent or faulty.
  std::optional<std::vector<std::string>> Strings(const std::string& field);
  /// Null with a finding unless the field is an array.
  const nlohmann::json* RequiredArray(const std::string& field);
  /// Null with a finding unless the field is present.
  const nlohmann::json* RequiredValue(const std::string& field);

  /// Adds a finding for each field that was not read.
  void Finish();

 private:
  const nlohmann::json* Find(const std::string& field);
  const nlohmann::json* FindRequired(const std::string& field);

  const nlohmann::json& value_;
  std::string place_;
  Findings* findings_;
  std::set<std::string> known_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBCONFIG_JSON_READER_H_
