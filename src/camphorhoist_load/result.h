#ifndef CAMPHORHOIST_CAMPHORHOIST_LOAD_RESULT_H_
#define CAMPHORHOIST_CAMPHORHOIST_LOAD_RESULT_H_

#include <chrono>
#include <cstddef>
#include <string>

namespace camphorhoist {

/// What became of one request.
struct RequestResult {
  std::string key;
  std::string method;
  size_t shape = 0;
  size_t step = 0;
  /// Value of X-Camphorhoist-Outcome of a whole answer ("-" if it has none), or why there is no
  /// whole answer: "never-sent", "no-whole-answer", "timed-out", "shed", "dropped", "unfinished".
  std::string outcome;
  /// 0 if there was no whole answer.
  int status = 0;
  /// From the intended start to the end of the answer.
  std::chrono::microseconds latency{0};
  /// Why a whole answer is not the one that was asked for; empty if it is.
  std::string fault;

  /// A whole answer by the upstream with status 200.
  bool Answered() const { return status == 200 && (outcome == "answered" || outcome == "-"); }
  /// The tool was told, or knows, that the request was not run.
  bool ToldNotRun() const {
    return outcome == "not-run" || outcome == "never-sent" || outcome == "shed" ||
           outcome == "dropped";
  }
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOIST_LOAD_RESULT_H_
