#ifndef CAMPHORHOIST_LIBBASE_FLAG_PARSER_H_
#define CAMPHORHOIST_LIBBASE_FLAG_PARSER_H_

#include <popt.h>

#include "camphorhoist/finding.h"

namespace camphorhoist {

/// Parses the command line of a program into the variables that `options` (a popt table) points to,
/// and adds the flag `--help`. Every unknown flag, malformed value and positional argument is a
/// finding. With `--help`, prints the help to standard output and returns false. Strings stored
/// through `options` are allocated by popt and owned by the caller.
///
/// Thread safety: call from the main thread only.
bool ParseFlags(const char* program, int argc, const char** argv, const poptOption* options,
                Findings* findings);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBBASE_FLAG_PARSER_H_
