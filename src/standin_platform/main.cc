// Stand-in for the platform's object API. See docs/operators/platform.md.

#include <signal.h>

#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>

#include "camphorhoist/finding.h"
#include "camphorhoist/net_address.h"
#include "libbase/event_ptr.h"
#include "libbase/flag_parser.h"
#include "libbase/log.h"
#include "standin_platform/platform_server.h"

namespace camphorhoist {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

struct Settings {
  std::string listen = "127.0.0.1:0";
  std::string log_level = "info";
};

// State for the signal handler, which stops the server and then the event loop.
struct SignalContext {
  event_base* base;
  PlatformServer* server;
};

void OnSignal(evutil_socket_t, short, void* arg) {  // NOLINT(google-runtime-int): libevent
  auto* context = static_cast<SignalContext*>(arg);
  event_base* base = context->base;
  context->server->Stop([base] { event_base_loopbreak(base); });
}

/// Returns nothing if `--help` was given.
std::optional<Settings> ParseArguments(int argc, const char** argv, Findings* findings) {
  Settings settings;
  char* listen = nullptr;
  char* log_level = nullptr;
  const poptOption options[] = {
      {"listen", 0, POPT_ARG_STRING, &listen, 0, "address to listen on", "IP:PORT"},
      {"log-level", 0, POPT_ARG_STRING, &log_level, 0, "debug, info, warn or error", "LEVEL"},
      POPT_TABLEEND};
  const bool run = ParseFlags("standin_platform", argc, argv, options, findings);
  if (listen != nullptr) settings.listen = listen;
  if (log_level != nullptr) settings.log_level = log_level;
  std::free(listen);
  std::free(log_level);
  if (!run) return std::nullopt;
  return settings;
}

int Serve(const NetAddress& address) {
  EventBasePtr base(event_base_new());
  PlatformServer server(base.get());
  const std::error_code ec = server.Listen(address);
  if (ec) {
    std::cerr << "--listen " << address.ToString() << ": " << ec.message() << "\n";
    return kExitFailure;
  }
  SignalContext context{base.get(), &server};
  EventPtr term_event(evsignal_new(base.get(), SIGTERM, &OnSignal, &context));
  EventPtr int_event(evsignal_new(base.get(), SIGINT, &OnSignal, &context));
  event_add(term_event.get(), nullptr);
  event_add(int_event.get(), nullptr);
  std::cout << "listening " << server.address().ToString() << std::endl;
  event_base_dispatch(base.get());
  LogEvent(LogLevel::kInfo, "standin_platform", "stopped").Add("objects", server.objects().size());
  return kExitOk;
}

int Main(int argc, const char** argv) {
  signal(SIGPIPE, SIG_IGN);
  Findings findings;
  const std::optional<Settings> parsed = ParseArguments(argc, argv, &findings);
  if (!parsed) return kExitOk;
  const Settings& settings = *parsed;
  const auto address = NetAddress::Parse(settings.listen);
  if (!address) findings.Add("--listen", "must be IP:PORT, is \"" + settings.listen + "\"");
  ConfigureLogging(settings.log_level, "standin_platform", "--log-level", &findings);
  if (!findings.empty()) {
    std::cerr << findings.ToString() << "\n";
    return kExitUsage;
  }
  return Serve(*address);
}

}  // namespace
}  // namespace camphorhoist

int main(int argc, char** argv) { return camphorhoist::Main(argc, const_cast<const char**>(argv)); }
