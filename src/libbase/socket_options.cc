#include "libbase/socket_options.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace camphorhoist {

namespace {

void SetOption(int fd, int level, int name, int value) {
  setsockopt(fd, level, name, &value, sizeof(value));
}

}  // namespace

void TuneSocket(int fd, std::chrono::milliseconds unacked_timeout) {
  constexpr int kProbeIntervalS = 1;
  constexpr int kMaxProbes = 2;
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(unacked_timeout.count()));
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, kProbeIntervalS);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalS);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kMaxProbes);
}

size_t UnacknowledgedBytes(int fd) {
  int bytes = 0;
  if (ioctl(fd, SIOCOUTQ, &bytes) != 0 || bytes < 0) return 0;
  return static_cast<size_t>(bytes);
}

}  // namespace camphorhoist
