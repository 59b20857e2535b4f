// Stand-in upstream for tests and load runs. See service.h for its HTTP interface.

#include <signal.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>

#include "libbase/event_ptr.h"
#include "libbase/log.h"
#include "libbase/precise_event_base.h"
#include "libcaller/caller_server.h"
#include "standin_upstream/announcer.h"
#include "standin_upstream/service.h"
#include "standin_upstream/settings.h"

namespace camphorhoist {
namespace {

// Time for requests to arrive that a node sent before it processed the draining announcement.
constexpr std::chrono::milliseconds kDrainGracePeriod{100};

/// Owns the service, the server and the announcer, and implements the graceful stop.
class Program {
 public:
  explicit Program(const StandinSettings& settings)
      : settings_(settings),
        instance_(std::to_string(WallClockMs()) + "-" + std::to_string(getpid())),
        base_(NewPreciseEventBase()),
        service_(
            base_.get(), settings, instance_, [this] { Drain(); },
            [this] { announcer_.SetSuspended(!service_.control().announce); }),
        server_(base_.get(), &service_),
        announcer_(
            base_.get(), settings.nodes, [this] { return MakeAnnouncement(); },
            [this] { return service_.ReportedLoad(); }),
        drain_timer_(base_.get(), [this] { StopServer(); }),
        term_event_(evsignal_new(base_.get(), SIGTERM, &Program::OnSignal, this)),
        int_event_(evsignal_new(base_.get(), SIGINT, &Program::OnSignal, this)) {}

  int Run() {
    const std::error_code ec = server_.Listen(settings_.listen);
    if (ec) {
      std::cerr << "--listen: " << settings_.listen.ToString() << ": " << ec.message() << "\n";
      return 1;
    }
    event_add(term_event_.get(), nullptr);
    event_add(int_event_.get(), nullptr);
    announcer_.Start();
    std::cout << "listening " << server_.address().ToString() << std::endl;
    event_base_dispatch(base_.get());
    return 0;
  }

 private:
  static void OnSignal(evutil_socket_t, short, void* arg) {  // NOLINT(google-runtime-int): libevent
    auto* self = static_cast<Program*>(arg);
    self->exit_when_drained_ = true;
    self->Drain();
  }

  Announcement MakeAnnouncement() const {
    Announcement announcement;
    announcement.service = settings_.service;
    announcement.address = server_.address();
    announcement.slots = settings_.slots;
    announcement.connections = settings_.connections;
    announcement.state = service_.state();
    announcement.instance = instance_;
    announcement.accepts_cancel = true;
    return announcement;
  }

  // Announces the draining state. After a signal, the process also exits; after a control message,
  // it keeps running.
  void Drain() {
    service_.StartDraining();
    announcer_.AnnounceNow([this] {
      if (exit_when_drained_) drain_timer_.StartOnce(kDrainGracePeriod);
    });
  }

  void StopServer() {
    server_.StopAccepting(
        [this] { announcer_.Leave([this] { event_base_loopbreak(base_.get()); }); });
  }

  StandinSettings settings_;
  std::string instance_;
  EventBasePtr base_;
  bool exit_when_drained_ = false;
  StandinService service_;
  CallerServer server_;
  Announcer announcer_;
  Timer drain_timer_;
  EventPtr term_event_;
  EventPtr int_event_;
};

}  // namespace
}  // namespace camphorhoist

int main(int argc, const char** argv) {
  using camphorhoist::Findings;
  Findings findings;
  const auto settings = camphorhoist::ReadStandinSettings(argc, argv, &findings);
  if (!settings) return 0;
  camphorhoist::ConfigureLogging(settings->log_level, "standin_upstream", "--log-level", &findings);
  if (!settings->ledger_file.empty() && !std::ofstream(settings->ledger_file, std::ios::app)) {
    findings.Add("--ledger", settings->ledger_file + " cannot be opened for writing");
  }
  if (!findings.empty()) {
    std::cerr << findings.ToString() << "\n";
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  return camphorhoist::Program(*settings).Run();
}
