// camphorhoist_sidecar: the proxy process next to one upstream on the platform.

#include <malloc.h>
#include <signal.h>
#include <sys/stat.h>
#include <xxhash.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "camphorhoist/version.h"
#include "libbase/flag_parser.h"
#include "libbase/log.h"
#include "libbase/precise_event_base.h"
#include "libsidecar/sidecar.h"
#include "platform/settings.h"

namespace camphorhoist {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

/// Interval at which the settings file is checked for changes, which may come without a signal.
constexpr std::chrono::seconds kSettingsCheckInterval{2};

/// Larger buffers have mappings of their own, so that their memory is returned when they are freed.
/// By default glibc raises this limit to the size of the largest freed buffer, and large bodies
/// leave fragments in the heap.
constexpr int kMaxHeapBufferBytes = 256 << 10;
/// Free memory at the end of the heap that is kept.
constexpr int kMaxFreeHeapBytes = 2 << 20;

/// Log lines are buffered for at most this long; a killed process loses them.
constexpr std::chrono::milliseconds kLogFlushInterval{100};

// The time alone is not unique: processes may start at the same moment, and the system clock may
// jump.
uint64_t NewIncarnation(const std::string& node) {
  const auto wall = std::chrono::system_clock::now().time_since_epoch().count();
  const auto steady = std::chrono::steady_clock::now().time_since_epoch().count();
  const std::string text = node + "|" + std::to_string(wall) + "|" + std::to_string(steady) + "|" +
                           std::to_string(std::random_device()());
  return XXH64(text.data(), text.size(), 0);
}

struct Options {
  std::string settings_path;
  std::string log_level = "info";
  bool check = false;
  bool version = false;
};

/// Handles signals and changes of the settings file while the sidecar runs.
class ProcessEvents {
 public:
  ProcessEvents(event_base* base, std::string path, Sidecar* sidecar)
      : path_(std::move(path)),
        sidecar_(sidecar),
        check_timer_(base, [this] { CheckFile(); }),
        modified_(ModificationTime()) {
    AddSignal(base, SIGTERM, [](evutil_socket_t, short, void* arg) {  // NOLINT(google-runtime-int)
      static_cast<ProcessEvents*>(arg)->sidecar_->Stop();
    });
    AddSignal(base, SIGINT, [](evutil_socket_t, short, void* arg) {  // NOLINT(google-runtime-int)
      static_cast<ProcessEvents*>(arg)->sidecar_->Stop();
    });
    AddSignal(base, SIGHUP, [](evutil_socket_t, short, void* arg) {  // NOLINT(google-runtime-int)
      static_cast<ProcessEvents*>(arg)->Reload();
    });
    check_timer_.StartPeriodic(kSettingsCheckInterval);
  }

 private:
  void AddSignal(event_base* base, int number, event_callback_fn handler) {
    events_.emplace_back(evsignal_new(base, number, handler, this));
    event_add(events_.back().get(), nullptr);
  }

  std::pair<time_t, int64_t> ModificationTime() const {
    struct stat status {};
    if (stat(path_.c_str(), &status) != 0) return {};
    return {status.st_mtim.tv_sec, status.st_mtim.tv_nsec};
  }

  void CheckFile() {
    const auto modified = ModificationTime();
    if (modified != modified_) Reload();
  }

  void Reload() {
    modified_ = ModificationTime();
    Findings findings;
    const std::optional<SidecarSettings> settings = platform::ReadSettingsFile(path_, &findings);
    if (settings) return sidecar_->Reload(*settings);
    LogEvent(LogLevel::kError, "sidecar", "settings_rejected").Add("findings", findings.ToString());
  }

  std::string path_;
  Sidecar* sidecar_;
  Timer check_timer_;
  std::pair<time_t, int64_t> modified_;
  std::vector<EventPtr> events_;
};

int Run(const SidecarSettings& settings, const Options& options) {
  Findings findings;
  ConfigureBoundedLogging(options.log_level, settings.node, "--log-level", LogLimits(), &findings);
  signal(SIGPIPE, SIG_IGN);
  const EventBasePtr base = NewPreciseEventBase();
  Sidecar sidecar(base.get(), settings, NewIncarnation(settings.node));
  if (!findings.empty() || !sidecar.Start(&findings)) {
    std::cerr << findings.ToString() << "\n";
    return kExitFailed;
  }
  ProcessEvents events(base.get(), options.settings_path, &sidecar);
  Timer flush_timer(base.get(), [] { FlushLog(); });
  flush_timer.StartPeriodic(kLogFlushInterval);
  event_base_dispatch(base.get());
  FlushLog();
  return kExitOk;
}

std::optional<Options> ReadOptions(int argc, const char** argv, Findings* findings, bool* help) {
  char* settings_path = nullptr;
  char* log_level = nullptr;
  int check = 0;
  int version = 0;
  const poptOption table[] = {
      {"settings", 0, POPT_ARG_STRING, &settings_path, 0,
       "settings file (default: the path in CAMPHORHOIST_CONFIG)", "PATH"},
      {"log-level", 0, POPT_ARG_STRING, &log_level, 0, "debug, info, warn or error", "LEVEL"},
      {"check", 0, POPT_ARG_NONE, &check, 0, "check the settings and exit", nullptr},
      {"version", 0, POPT_ARG_NONE, &version, 0, "print the version and exit", nullptr},
      POPT_TABLEEND};
  *help = !ParseFlags("camphorhoist_sidecar", argc, argv, table, findings);
  Options options;
  const char* from_environment = std::getenv(platform::kSettingsVariable);
  if (from_environment != nullptr) options.settings_path = from_environment;
  if (settings_path != nullptr) options.settings_path = settings_path;
  if (log_level != nullptr) options.log_level = log_level;
  free(settings_path);
  free(log_level);
  options.check = check != 0;
  options.version = version != 0;
  if (!findings->empty()) return std::nullopt;
  return options;
}

int Main(int argc, const char** argv) {
  // A SIGHUP that arrives before its handler exists would end the process. Ignoring it loses no
  // reload: the settings are read after this, and the file is checked again later.
  signal(SIGHUP, SIG_IGN);
  mallopt(M_MMAP_THRESHOLD, kMaxHeapBufferBytes);
  mallopt(M_TRIM_THRESHOLD, kMaxFreeHeapBytes);
  Findings findings;
  bool help = false;
  const std::optional<Options> options = ReadOptions(argc, argv, &findings, &help);
  if (help) return kExitOk;
  if (options && options->version) {
    std::cout << "camphorhoist_sidecar " << CAMPHORHOIST_VERSION_STRING << "\n";
    return kExitOk;
  }
  std::optional<SidecarSettings> settings;
  if (options) {
    if (options->settings_path.empty()) {
      findings.Add("--settings",
                   std::string("is missing, and ") + platform::kSettingsVariable + " is not set");
    } else {
      settings = platform::ReadSettingsFile(options->settings_path, &findings);
    }
  }
  if (!settings) {
    std::cerr << findings.ToString() << "\n";
    return kExitUsage;
  }
  if (options->check) {
    std::cout << "settings are valid\n";
    return kExitOk;
  }
  return Run(*settings, *options);
}

}  // namespace
}  // namespace camphorhoist

int main(int argc, char** argv) { return camphorhoist::Main(argc, const_cast<const char**>(argv)); }
