#ifndef CAMPHORHOIST_ERROR_H_
#define CAMPHORHOIST_ERROR_H_

#include <system_error>

namespace camphorhoist {

/// Error conditions shared by the libraries. Thread safety: all functions are safe to call from any
/// thread.
enum class Errc {
  kOk = 0,
  /// The request was refused because the object has another version.
  kConflict,
  /// The object does not exist.
  kNotFound,
  /// The peer could not be reached or refused the request without running it: no effect.
  kUnavailable,
  /// The request was sent, but no complete response arrived: it may or may not have taken effect.
  kUnknownEffect,
  /// The input is malformed or violates a rule.
  kInvalidInput,
  /// The caller's own budget for this kind of request is exhausted: nothing was sent.
  kBudgetExhausted,
  /// The peer belongs to another mesh.
  kWrongMesh,
  /// The peer is not the addressed incarnation (process instance).
  kWrongIncarnation,
  /// The operation was cancelled by the code that started it.
  kCancelled,
  /// The deadline passed.
  kDeadlineExceeded,
};

/// The error category of `Errc`.
const std::error_category& ErrorCategory();

std::error_code make_error_code(Errc errc);

}  // namespace camphorhoist

namespace std {
template <>
struct is_error_code_enum<camphorhoist::Errc> : true_type {};
}  // namespace std

#endif  // CAMPHORHOIST_ERROR_H_
