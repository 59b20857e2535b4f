#ifndef CAMPHORHOIST_NET_ADDRESS_H_
#define CAMPHORHOIST_NET_ADDRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

namespace camphorhoist {

/// An IPv4 address and port. Host names are not supported.
///
/// Immutable value type. Thread safety: distinct objects may be used from distinct threads.
class NetAddress {
 public:
  NetAddress() = default;
  /// Precondition: `ip` is a dotted IPv4 address; use `Parse` for untrusted text.
  NetAddress(std::string ip, uint16_t port) : ip_(std::move(ip)), port_(port) {}

  /// Parses "ip:port" (port 0 to 65535). Returns nullopt if `text` has another format.
  static std::optional<NetAddress> Parse(const std::string& text);

  const std::string& ip() const { return ip_; }
  uint16_t port() const { return port_; }
  bool empty() const { return ip_.empty(); }
  std::string ToString() const { return ip_ + ":" + std::to_string(port_); }

  friend bool operator==(const NetAddress& a, const NetAddress& b) {
    return std::tie(a.ip_, a.port_) == std::tie(b.ip_, b.port_);
  }
  friend bool operator!=(const NetAddress& a, const NetAddress& b) { return !(a == b); }
  friend bool operator<(const NetAddress& a, const NetAddress& b) {
    return std::tie(a.ip_, a.port_) < std::tie(b.ip_, b.port_);
  }

 private:
  std::string ip_;
  uint16_t port_ = 0;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_NET_ADDRESS_H_
