#ifndef CAMPHORHOIST_LIBCONFIG_RECORD_BUILDER_H_
#define CAMPHORHOIST_LIBCONFIG_RECORD_BUILDER_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "camphorhoist/finding.h"
#include "camphorhoist/record.h"
#include "libconfig/json_reader.h"

namespace camphorhoist {

/// Builds records from parsed JSON. Thread safety: safe from any thread.
class RecordBuilder {
 public:
  /// Adds findings and returns an empty optional if `value` is not a valid record.
  static std::optional<Record> Build(const nlohmann::json& value, const std::string& place,
                                     Findings* findings);

 private:
  using ReadSettings = Record::Settings (*)(JsonReader*, int schema, Findings*);
  struct KindParser {
    int max_schema;
    ReadSettings read;
  };

  static const KindParser& ParserOf(RecordKind kind);
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBCONFIG_RECORD_BUILDER_H_
