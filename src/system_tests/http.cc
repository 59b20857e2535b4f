#include "system_tests/http.h"

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>
#include <utility>

#include "system_tests/process.h"

namespace camphorhoist {

namespace {

constexpr std::chrono::seconds kRequestTimeout{10};
constexpr size_t kReadBufferBytes = 64 << 10;

sockaddr_in ToSockaddrIn(const NetAddress& address) {
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(address.port());
  inet_pton(AF_INET, address.ip().c_str(), &name.sin_addr);
  return name;
}

/// A connected IPv4 socket.
class Socket {
 public:
  Socket(const NetAddress& address, int type) : fd_(socket(AF_INET, type | SOCK_CLOEXEC, 0)) {
    const sockaddr_in name = ToSockaddrIn(address);
    const int rc = connect(fd_, reinterpret_cast<const sockaddr*>(&name), sizeof(name));
    CPPUNIT_ASSERT_MESSAGE("cannot connect to " + address.ToString(), rc == 0);
  }
  ~Socket() { close(fd_); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  int fd() const { return fd_; }

 private:
  int fd_;
};

}  // namespace

HttpResponse Fetch(const NetAddress& server, HttpRequest request) {
  const EventBasePtr base(event_base_new());
  HttpClient client(base.get());
  std::optional<HttpResponse> result;
  client.Send(server, std::move(request), kRequestTimeout,
              [&result](HttpResponse response) { result = std::move(response); });
  while (!result) event_base_loop(base.get(), EVLOOP_ONCE);
  return std::move(*result);
}

HttpResponse Fetch(const NetAddress& server, const std::string& method, const std::string& target,
                   const std::string& body) {
  HttpRequest request;
  request.method = method;
  request.target = target;
  request.body = body;
  return Fetch(server, std::move(request));
}

nlohmann::json FetchJson(const NetAddress& server, const std::string& method,
                         const std::string& target, const std::string& body) {
  const HttpResponse response = Fetch(server, method, target, body);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(
      method + " " + target + ": " + response.error.message() + " " + response.body, 200,
      response.status);
  return nlohmann::json::parse(response.body);
}

std::string ExchangeBytes(const NetAddress& server, const std::string& bytes, int idle_timeout_ms,
                          bool* closed) {
  const Socket socket(server, SOCK_STREAM);
  // Stop at a send error: the server may close the connection before it has read all bytes.
  for (size_t sent = 0; sent < bytes.size();) {
    const ssize_t n = send(socket.fd(), bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) break;
    sent += static_cast<size_t>(n);
  }
  std::string received;
  std::string buf(kReadBufferBytes, '\0');
  pollfd poll_fd{socket.fd(), POLLIN, 0};
  if (closed != nullptr) *closed = false;
  while (poll(&poll_fd, 1, idle_timeout_ms) > 0) {
    const ssize_t n = recv(socket.fd(), buf.data(), buf.size(), 0);
    if (n > 0) {
      received.append(buf, 0, static_cast<size_t>(n));
      continue;
    }
    if (closed != nullptr) *closed = true;
    break;
  }
  return received;
}

void SendDatagram(const NetAddress& target, const std::string& bytes) {
  const Socket socket(target, SOCK_DGRAM);
  const ssize_t n = send(socket.fd(), bytes.data(), bytes.size(), 0);
  CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(bytes.size()), n);
}

}  // namespace camphorhoist
