#ifndef CAMPHORHOIST_LIBOPERATOR_OPERATOR_JSON_H_
#define CAMPHORHOIST_LIBOPERATOR_OPERATOR_JSON_H_

#include <optional>
#include <string>

#include "camphorhoist/operator_api.h"

namespace camphorhoist {

/// JSON texts of the operator API. The `Read` functions return nothing if the text has another
/// form. Thread safety: safe from any thread.

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
/// The findings of an error answer; a message without findings becomes one at `place`.
Findings DecodeError(const std::string& text, const std::string& place);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBOPERATOR_OPERATOR_JSON_H_
