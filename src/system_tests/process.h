#ifndef CAMPHORHOIST_SYSTEM_TESTS_PROCESS_H_
#define CAMPHORHOIST_SYSTEM_TESTS_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "camphorhoist/net_address.h"

namespace camphorhoist {

/// Bound of every wait on a condition. It is far above what any condition needs, so that a busy
/// machine does not fail a test.
constexpr std::chrono::seconds kWaitLimit{30};

/// Polls `condition` until it holds; fails the running test with `what` after `kWaitLimit`.
void WaitFor(const std::string& what, const std::function<bool()>& condition);

/// One child process. Its standard output and error go to the files NAME.out and NAME.log. The
/// destructor kills and reaps it; the kernel kills it when the test program ends in another way.
///
/// Thread safety: none. Only the thread that created it may use it, and must outlive it.
class Process {
 public:
  /// Starts `command`, whose first element is the path of the program.
  Process(const std::string& name, const std::vector<std::string>& command,
          const std::string& directory);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Waits for the first output line, which the program prints once it listens.
  void WaitReady();
  /// Address from a ready line of the form `ready NAME=IP:PORT ...`.
  NetAddress Address(const std::string& name) const;
  /// Address from a ready line that ends in it.
  NetAddress LastAddress() const;

  void Signal(int number) const;
  /// Kills and reaps the process.
  void Kill();
  /// Waits for the end; returns the exit code, or the negated number of the signal that ended it.
  int Wait();
  /// SIGTERM, then `Wait`.
  int Terminate();
  bool Running();

  pid_t pid() const { return pid_; }
  const std::string& name() const { return name_; }
  std::string Output() const;
  /// Last lines of standard error, for messages.
  std::string LogTail() const;

 private:
  std::string name_;
  std::string output_file_;
  std::string log_file_;
  std::string ready_;
  pid_t pid_ = -1;
  std::optional<int> exit_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_SYSTEM_TESTS_PROCESS_H_
