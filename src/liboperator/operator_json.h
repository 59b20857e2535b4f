#ifndef CAMPHORHOIST_LIBOPERATOR_OPERATOR_JSON_H_
#define CAMPHORHOIST_LIBOPERATOR_OPERATOR_JSON_H_

#include <optional>
#include <string>

#include "camphorhoist/operator_api.h"

namespace camphorhoist {

/// JSON encoding of the operator API. The `Parse` and `Decode` functions return nothing if the text
/// is malformed.
///
/// Thread safety: all functions are safe to call from any thread.

std::optional<ConfigVersion> ParseVersion(const std::string& text);
std::optional<ChangeOutcome> ParseOutcome(const std::string& text);

std::string EncodeChangeResult(const ChangeResult& result);
std::string EncodeRecords(const RecordsResult& result);
std::string EncodeStatus(const StatusResult& result);
std::string EncodeDrain(const DrainResult& result);
std::string EncodeError(const std::string& message, const Findings& findings);

std::optional<ChangeResult> DecodeChangeResult(const std::string& text);
std::optional<RecordsResult> DecodeRecords(const std::string& text);
std::optional<StatusResult> DecodeStatus(const std::string& text);
std::optional<DrainResult> DecodeDrain(const std::string& text);
/// Returns the findings of an error response. If it has none, its message becomes a finding at
/// `place`; the result is never empty.
Findings DecodeError(const std::string& text, const std::string& place);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBOPERATOR_OPERATOR_JSON_H_
