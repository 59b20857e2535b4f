#ifndef CAMPHORHOIST_LIBBASE_SOCKET_OPTIONS_H_
#define CAMPHORHOIST_LIBBASE_SOCKET_OPTIONS_H_

#include <chrono>

namespace camphorhoist {

/// Disables Nagle's algorithm, so that small messages are sent immediately, and makes the kernel
/// report an unresponsive peer within about `unacked_timeout`: by TCP_USER_TIMEOUT if data is
/// unacknowledged, and by keep-alive probes if the connection is idle. Failures to set an option
/// are ignored; the connection then only lacks this detection.
///
/// Thread safety: safe to call from any thread.
void TuneSocket(int fd, std::chrono::milliseconds unacked_timeout);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBBASE_SOCKET_OPTIONS_H_
