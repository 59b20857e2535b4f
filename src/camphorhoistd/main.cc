// camphorhoistd: the node of a camphorhoist mesh.

#include <signal.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "camphorhoist/version.h"
#include "camphorhoistd/daemon.h"
#include "camphorhoistd/incarnation_range.h"
#include "camphorhoistd/settings.h"
#include "libbase/log.h"

namespace camphorhoist {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

std::optional<std::string> ReadEnvironment(const std::string& name) {
  const char* value = std::getenv(name.c_str());
  if (value == nullptr) return std::nullopt;
  return std::string(value);
}

uint64_t StartTimeMillis() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

/// Calls `Daemon::Stop` on SIGTERM and SIGINT for its lifetime.
class StopSignals {
 public:
  StopSignals(event_base* base, Daemon* daemon) {
    for (const int number : {SIGTERM, SIGINT}) {
      events_.emplace_back(evsignal_new(
          base, number,
          [](evutil_socket_t, short, void* arg) {  // NOLINT(google-runtime-int): libevent
            static_cast<Daemon*>(arg)->Stop();
          },
          daemon));
      event_add(events_.back().get(), nullptr);
    }
  }

 private:
  std::vector<EventPtr> events_;
};

int RunDaemon(const Settings& settings) {
  Findings findings;
  ConfigureLogging(settings.log_level, "camphorhoistd", "--log-level", &findings);
  Daemon daemon(settings, IncarnationRange::FirstIncarnation(StartTimeMillis()));
  if (!findings.empty() || !daemon.Start(&findings)) {
    std::cerr << findings.ToString() << "\n";
    return kExitFailed;
  }
  const StopSignals signals(daemon.base(), &daemon);
  // For scripts: the bound addresses, with the ports that the system chose for port 0.
  std::cout << "ready caller=" << daemon.caller_address().ToString()
            << " node=" << daemon.node_address().ToString()
            << " operator=" << daemon.operator_address().ToString()
            << " upstream=" << daemon.upstream_address().ToString() << std::endl;
  return daemon.Run() == 0 ? kExitOk : kExitFailed;
}

int Main(const std::vector<std::string>& args) {
  Findings findings;
  const ParsedSettings parsed = ParseSettings(args, &ReadEnvironment, &findings);
  if (!findings.empty()) {
    std::cerr << findings.ToString() << "\n";
    return kExitUsage;
  }
  switch (parsed.action) {
    case SettingsAction::kHelp:
      std::cout << parsed.help;
      return kExitOk;
    case SettingsAction::kVersion:
      std::cout << "camphorhoistd " << CAMPHORHOIST_VERSION_STRING << "\n";
      return kExitOk;
    case SettingsAction::kCheck:
      std::cout << "settings are valid\n";
      return kExitOk;
    case SettingsAction::kRun:
      break;
  }
  return RunDaemon(parsed.settings);
}

}  // namespace
}  // namespace camphorhoist

int main(int argc, char** argv) {
  return camphorhoist::Main(std::vector<std::string>(argv, argv + argc));
}
