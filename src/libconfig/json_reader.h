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

/// Whether `ParseJson` checks for duplicate fields in an object. The check takes as long as parsing
/// itself. It is not needed for input whose canonical form or hash is verified afterwards.
enum class DuplicateFieldCheck { kOn, kOff };

/// Parses `text`. Adds a finding with line and column for a syntax error and one with the field
/// name for each duplicate field, and returns an empty optional on either.
std::optional<nlohmann::json> ParseJson(const std::string& text, const std::string& place,
                                        Findings* findings,
                                        DuplicateFieldCheck check = DuplicateFieldCheck::kOn);

/// Reads the fields of one JSON object. Adds findings for missing, wrongly typed, out-of-range and
/// unknown fields. A field that is absent or invalid reads as the default value: the given one, the
/// minimum of a required integer, or an empty string.
///
/// Thread safety: none. Precondition: `value` and `findings` outlive the reader.
class JsonReader {
 public:
  /// Adds a finding if `value` is not an object.
  JsonReader(const nlohmann::json& value, std::string place, Findings* findings);

  /// False if the value is not an object; every field then reads as absent, without a finding for
  /// the field.
  bool is_object() const { return value_.is_object(); }
  const std::string& place() const { return place_; }
  std::string PlaceOf(const std::string& field) const { return place_ + "." + field; }
  bool Has(const std::string& field) const;

  std::string RequiredString(const std::string& field);
  std::string String(const std::string& field);
  int64_t RequiredInteger(const std::string& field, int64_t min, int64_t max);
  int64_t Integer(const std::string& field, int64_t default_value, int64_t min, int64_t max);
  bool Boolean(const std::string& field, bool default_value);
  /// Reads an array of strings; returns an empty optional if the field is absent or invalid.
  std::optional<std::vector<std::string>> Strings(const std::string& field);
  /// Returns null unless the field is an array, with a finding if `is_object()`.
  const nlohmann::json* RequiredArray(const std::string& field);
  /// Returns null unless the field is present, with a finding if `is_object()`.
  const nlohmann::json* RequiredValue(const std::string& field);

  /// Adds a finding for each field that was not read.
  void Finish();

 private:
  const nlohmann::json* Find(const std::string& field);
  const nlohmann::json* FindRequired(const std::string& field);

  const nlohmann::json& value_;
  std::string place_;
  Findings* findings_;
  /// Names of the fields that were read; `Finish` reports all others as unknown.
  std::set<std::string> known_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBCONFIG_JSON_READER_H_
