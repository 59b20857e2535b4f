#include "system_tests/process.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>

namespace camphorhoist {

namespace {

constexpr std::chrono::milliseconds kPollInterval{10};
constexpr int kExecFailedExitCode = 127;
constexpr size_t kLogTailBytes = 2000;

std::string ReadFile(const std::string& name) {
  std::ifstream in(name);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

int OpenOutput(const std::string& name) {
  const int fd = open(name.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  CPPUNIT_ASSERT_MESSAGE("cannot open " + name, fd >= 0);
  return fd;
}

}  // namespace

void WaitFor(const std::string& description, const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) CPPUNIT_FAIL("timed out: " + description);
    std::this_thread::sleep_for(kPollInterval);
  }
}

Process::Process(const std::string& name, const std::vector<std::string>& command,
                 const std::string& directory)
    : name_(name),
      output_file_(directory + "/" + name + ".out"),
      log_file_(directory + "/" + name + ".log") {
  const int out = OpenOutput(output_file_);
  const int err = OpenOutput(log_file_);
  std::vector<char*> argv;
  argv.reserve(command.size() + 1);
  for (const std::string& it : command) argv.push_back(const_cast<char*>(it.c_str()));
  argv.push_back(nullptr);
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ == 0) {
    // Between fork and exec only async-signal-safe functions may be called.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(kExecFailedExitCode);
    dup2(out, STDOUT_FILENO);
    dup2(err, STDERR_FILENO);
    execv(argv[0], argv.data());
    _exit(kExecFailedExitCode);
  }
  close(out);
  close(err);
  CPPUNIT_ASSERT_MESSAGE("fork failed", pid_ > 0);
}

Process::~Process() { Kill(); }

void Process::WaitReady() {
  WaitFor(name_ + " prints its ready line", [this] {
    if (!Running()) CPPUNIT_FAIL(name_ + " ended at its start: " + LogTail());
    ready_line_ = Output();
    return ready_line_.find('\n') != std::string::npos;
  });
  ready_line_.erase(ready_line_.find('\n'));
}

NetAddress Process::Address(const std::string& name) const {
  std::istringstream in(ready_line_);
  const std::string prefix = name + "=";
  for (std::string it; in >> it;) {
    if (it.compare(0, prefix.size(), prefix) != 0) continue;
    return NetAddress::Parse(it.substr(prefix.size())).value();
  }
  CPPUNIT_FAIL(name_ + " printed no address for " + name + ": " + ready_line_);
  return {};
}

NetAddress Process::LastAddress() const {
  return NetAddress::Parse(ready_line_.substr(ready_line_.rfind(' ') + 1)).value();
}

void Process::Signal(int signal_number) const {
  if (!exit_code_) kill(pid_, signal_number);
}

void Process::Kill() {
  Signal(SIGKILL);
  if (!exit_code_) {
    int status = 0;
    waitpid(pid_, &status, 0);
    exit_code_ = -SIGKILL;
  }
}

bool Process::Running() {
  if (exit_code_) return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return true;
  exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  return false;
}

int Process::Wait() {
  WaitFor(name_ + " ends", [this] { return !Running(); });
  return *exit_code_;
}

int Process::Terminate() {
  Signal(SIGTERM);
  return Wait();
}

std::string Process::Output() const { return ReadFile(output_file_); }

std::string Process::LogTail() const {
  const std::string log = ReadFile(log_file_);
  return log.size() > kLogTailBytes ? log.substr(log.size() - kLogTailBytes) : log;
}

}  // namespace camphorhoist
