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

/// Timeout of every wait on a condition. It is far above what any condition needs, so that a busy
/// machine does not fail a test.
constexpr std::chrono::seconds kWaitTimeout{30};

/// Polls `condition` until it holds; fails the running test with `description` after
/// `kWaitTimeout`.
void WaitFor(const std::string& description, const std::function<bool()>& condition);

/// A child process. Its standard output and error go to the files NAME.out and NAME.log. The
/// destructor kills and reaps it; if the test program ends without running the destructor, the
/// kernel kills the child.
///
/// Not thread-safe: only the thread that created it may use it. That thread must outlive it,
/// because the parent-death signal follows the creating thread.
class Process {
 public:
  /// Starts `command`, whose first element is the path of the program.
  Process(const std::string& name, const std::vector<std::string>& command,
          const std::string& directory);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Waits for the ready line, the first output line, which the program prints once it listens.
  void WaitReady();
  /// Returns the address called `name` from a ready line of the form `ready NAME=IP:PORT ...`.
  NetAddress Address(const std::string& name) const;
  /// Returns the address at the end of the ready line.
  NetAddress LastAddress() const;

  void Signal(int signal_number) const;
  /// Kills and reaps the process.
  void Kill();
  /// Waits for the process to end. Returns the exit code, or the negated number of the signal that
  /// ended it.
  int Wait();
  /// Sends SIGTERM, then calls `Wait`.
  int Terminate();
  bool Running();

  pid_t pid() const { return pid_; }
  const std::string& name() const { return name_; }
  std::string Output() const;
  /// Returns the end of standard error, for failure messages.
  std::string LogTail() const;

 private:
  std::string name_;
  std::string output_file_;
  std::string log_file_;
  std::string ready_line_;
  pid_t pid_ = -1;
  /// As returned by `Wait`; empty while the process runs.
  std::optional<int> exit_code_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_SYSTEM_TESTS_PROCESS_H_
