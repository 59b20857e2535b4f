#ifndef CAMPHORHOIST_CAMPHORHOIST_LOAD_RESULT_H_
#define CAMPHORHOIST_CAMPHORHOIST_LOAD_RESULT_H_

#include <chrono>
#include <cstddef>
#include <string>

namespace camphorhoist {

/// Result of one request.
struct RequestResult {
  std::string key;
  std::string method;
  /// Index into `LoadSettings::mix`.
  size_t shape = 0;
  /// Index into `LoadSettings::steps`.
  size_t step = 0;
  /// Value of X-Camphorhoist-Outcome in a complete response ("-" if the header is missing), or the
  /// reason for a missing or incomplete response: "never-sent", "no-whole-answer", "timed-out",
  /// "shed", "dropped" or "unfinished".
  std::string outcome;
  /// Reason that a node states in its response to a call without an answer; may be empty.
  std::string reason;
  /// HTTP status; 0 if there was no complete response.
  int status = 0;
  /// From the scheduled start to the end of the response.
  std::chrono::microseconds latency{0};
  /// How a complete response differs from the expected one; empty if it does not.
  std::string mismatch;

  /// True for a complete response of the upstream with status 200.
  bool Answered() const { return status == 200 && (outcome == "answered" || outcome == "-"); }
  /// True if the response or the client reported that the request was not executed.
  bool ReportedNotRun() const {
    return outcome == "not-run" || outcome == "never-sent" || outcome == "shed" ||
           outcome == "dropped";
  }
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOIST_LOAD_RESULT_H_
