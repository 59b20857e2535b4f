#ifndef CAMPHORHOIST_LIBBASE_FLAG_PARSER_H_
#define CAMPHORHOIST_LIBBASE_FLAG_PARSER_H_

#include <popt.h>

#include "camphorhoist/finding.h"

namespace camphorhoist {

/// Reads the command line of a program into the variables that `options` (a popt table) points to,
/// and adds `--help`. Every unknown flag, malformed value and stray argument is a finding. Returns
/// false if help was asked for; it is then printed to standard output. Texts stored through
/// `options` are allocated by popt and owned by the caller.
///
/// Thread safety: call from the main thread only.
bool ParseFlags(const char* program, int argc, const char** argv, const poptOption* options,
                Findings* findings);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBBASE_FLAG_PARSER_H_
