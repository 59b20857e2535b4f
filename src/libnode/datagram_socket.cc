#include "libnode/datagram_socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

#include "libnode/event_loop.h"

namespace camphorhoist {

namespace {

/// Limit of datagrams read in one turn of the loop, so that a burst does not delay other work.
constexpr int kMaxDatagramsPerTurn = 64;

}  // namespace

DatagramSocket::DatagramSocket(event_base* base, Handler handler)
    : base_(base), handler_(std::move(handler)) {}

DatagramSocket::~DatagramSocket() {
  event_.reset();
  if (fd_ >= 0) close(fd_);
}

std::error_code DatagramSocket::Bind(const NetAddress& address) {
  fd_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_UDP);
  const sockaddr_in name = ToSockaddr(address);
  if (bind(fd_, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) != 0) {
    return std::error_code(errno, std::system_category());
  }
  bound_ = BoundAddress(fd_);
  event_.reset(event_new(
      base_, fd_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* arg) {  // NOLINT(google-runtime-int): libevent
        static_cast<DatagramSocket*>(arg)->Receive();
      },
      this));
  event_add(event_.get(), nullptr);
  return {};
}

void DatagramSocket::Send(const NetAddress& to, const std::string& data) {
  const sockaddr_in name = ToSockaddr(to);
  if (data.size() > kMaxBytes ||
      sendto(fd_, data.data(), data.size(), 0, reinterpret_cast<const sockaddr*>(&name),
             sizeof(name)) < 0) {
    ++dropped_;
    return;
  }
  sent_bytes_ += data.size();
}

void DatagramSocket::Receive() {
  std::array<char, kMaxBytes + 1> buf;
  for (int i = 0; i < kMaxDatagramsPerTurn; ++i) {
    sockaddr_in name{};
    socklen_t size = sizeof(name);
    const ssize_t n =
        recvfrom(fd_, buf.data(), buf.size(), 0, reinterpret_cast<sockaddr*>(&name), &size);
    if (n < 0) return;
    if (static_cast<size_t>(n) > kMaxBytes) {
      ++dropped_;
      continue;
    }
    received_bytes_ += static_cast<uint64_t>(n);
    char ip[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &name.sin_addr, ip, sizeof(ip));
    handler_(NetAddress(ip, ntohs(name.sin_port)), std::string(buf.data(), static_cast<size_t>(n)));
  }
}

}  // namespace camphorhoist
