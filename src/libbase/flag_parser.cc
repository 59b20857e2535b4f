#include "libbase/flag_parser.h"

#include <cstdio>
#include <memory>

namespace camphorhoist {

namespace {

struct ContextDeleter {
  void operator()(poptContext_s* context) const { poptFreeContext(context); }
};

}  // namespace

bool ParseFlags(const char* program, int argc, const char** argv, const poptOption* options,
                Findings* findings) {
  int help = 0;
  const poptOption table[] = {
      {nullptr, 0, POPT_ARG_INCLUDE_TABLE, const_cast<poptOption*>(options), 0, nullptr, nullptr},
      {"help", '?', POPT_ARG_NONE, &help, 0, "print this text", nullptr},
      POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, ContextDeleter> context(
      poptGetContext(program, argc, argv, table, 0));
  int rc = 0;
  while ((rc = poptGetNextOpt(context.get())) < -1) {
    findings->Add(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS), poptStrerror(rc));
  }
  while (const char* extra = poptGetArg(context.get())) findings->Add(extra, "is not a flag");
  if (help == 0) return true;
  poptPrintHelp(context.get(), stdout, 0);
  return false;
}

}  // namespace camphorhoist
