// The operator CLI. See docs/operators/cli.md.

#include <signal.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "camphorhoist/cli.h"
#include "libbase/event_ptr.h"

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  const camphorhoist::EventBasePtr base(event_base_new());
  const char* node = std::getenv("CAMPHORHOIST_NODE");
  const camphorhoist::CliContext context{base.get(), std::cin, std::cout, std::cerr,
                                         node == nullptr ? "" : node};
  const std::vector<std::string> args(argv + 1, argv + argc);
  return static_cast<int>(camphorhoist::RunCli(args, context));
}
