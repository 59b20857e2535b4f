// Open-loop load tool. Exit status: 0 if no violation was found, 1 on violations or wrong
// responses, 2 on a usage error or if a ledger could not be read.

#include <signal.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "camphorhoist_load/generator.h"
#include "camphorhoist_load/ledger_check.h"
#include "camphorhoist_load/report.h"
#include "camphorhoist_load/settings.h"
#include "libbase/event_ptr.h"
#include "libbase/log.h"
#include "libbase/precise_event_base.h"

namespace camphorhoist {
namespace {

constexpr int kExitViolations = 1;
constexpr int kExitError = 2;
/// Violations beyond this number are counted but not printed; the JSON report lists all of them.
constexpr size_t kMaxPrintedViolations = 20;

class Program {
 public:
  explicit Program(LoadSettings settings)
      : settings_(std::move(settings)),
        base_(NewPreciseEventBase()),
        settle_timer_(base_.get(), [this] { reader_.Start(); }),
        reader_(base_.get(), settings_.ledgers, [this] { event_base_loopbreak(base_.get()); }),
        generator_(base_.get(), settings_, [this] { OnAllResults(); }),
        interrupt_event_(evsignal_new(base_.get(), SIGINT, &Program::OnSignal, this)) {}

  int Run() {
    event_add(interrupt_event_.get(), nullptr);
    generator_.Start();
    event_base_dispatch(base_.get());
    return Report();
  }

 private:
  static void OnSignal(evutil_socket_t, short, void* arg) {  // NOLINT(google-runtime-int): libevent
    static_cast<Program*>(arg)->generator_.Stop();
  }

  void OnAllResults() {
    if (settings_.ledgers.empty()) {
      event_base_loopbreak(base_.get());
    } else {
      settle_timer_.StartOnce(settings_.settle_delay);
    }
  }

  int Report() const {
    const std::vector<RequestResult>& results = generator_.results();
    const LoadReport report = Summarize(settings_, results, generator_.elapsed());
    WriteText(report, std::cout);
    if (!settings_.results_file.empty()) {
      std::ofstream out(settings_.results_file);
      WriteResults(settings_, results, out);
    }
    const bool ledgers_read = !settings_.ledgers.empty() && reader_.errors().empty();
    const Findings violations = ledgers_read ? FindViolations(results, reader_.runs()) : Findings();
    std::vector<std::string> lines;
    for (const Finding& it : violations.items()) lines.push_back(it.ToString());
    for (size_t i = 0; i < std::min(lines.size(), kMaxPrintedViolations); ++i) {
      std::cout << "violation " << lines[i] << "\n";
    }
    if (ledgers_read) std::cout << "violations: " << lines.size() << "\n";
    if (!settings_.json_file.empty()) {
      std::ofstream(settings_.json_file) << ToJson(report, settings_, lines) << "\n";
    }
    if (!report.mismatches.empty() || !lines.empty()) return kExitViolations;
    if (reader_.errors().empty()) return 0;
    std::cerr << reader_.errors().ToString() << "\n";
    return kExitError;
  }

  LoadSettings settings_;
  EventBasePtr base_;
  Timer settle_timer_;
  LedgerReader reader_;
  Generator generator_;
  EventPtr interrupt_event_;
};

}  // namespace
}  // namespace camphorhoist

int main(int argc, const char** argv) {
  camphorhoist::Findings findings;
  auto settings = camphorhoist::ReadLoadSettings(argc, argv, &findings);
  if (!settings) return 0;
  camphorhoist::ConfigureLogging("warn", "camphorhoist_load", "", &findings);
  if (!findings.empty()) {
    std::cerr << findings.ToString() << "\n";
    return camphorhoist::kExitError;
  }
  signal(SIGPIPE, SIG_IGN);
  return camphorhoist::Program(std::move(*settings)).Run();
}
