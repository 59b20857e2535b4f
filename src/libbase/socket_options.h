#ifndef CAMPHORHOIST_LIBBASE_SOCKET_OPTIONS_H_
#define CAMPHORHOIST_LIBBASE_SOCKET_OPTIONS_H_

#include <chrono>
#include <cstddef>

namespace camphorhoist {

/// Disables Nagle's algorithm, so that small messages are sent immediately, and makes the kernel
/// report an unresponsive peer within about `unacked_timeout`: by TCP_USER_TIMEOUT if data is
/// unacknowledged, and by keep-alive probes if the connection is idle. Failures to set an option
/// are ignored; the connection then only lacks this detection.
///
/// Thread safety: safe to call from any thread.
void TuneSocket(int fd, std::chrono::milliseconds unacked_timeout);

/// Returns the number of bytes written to a TCP socket that the peer's kernel has not acknowledged,
/// or 0 if it cannot be determined.
///
/// Thread safety: safe to call from any thread.
size_t UnacknowledgedBytes(int fd);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBBASE_SOCKET_OPTIONS_H_
