#ifndef CAMPHORHOIST_LIBBASE_SOCKET_OPTIONS_H_
#define CAMPHORHOIST_LIBBASE_SOCKET_OPTIONS_H_

#include <chrono>

namespace camphorhoist {

/// Sends small messages at once, and makes the kernel report a peer that no longer responds within
/// about `silence`: unacknowledged data by a user timeout, idle connections by keep-alive probes.
/// Failures are ignored; the connection then only loses this protection.
///
/// Thread safety: safe to call from any thread.
void TuneSocket(int fd, std::chrono::milliseconds silence);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBBASE_SOCKET_OPTIONS_H_
