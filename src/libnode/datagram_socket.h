#ifndef CAMPHORHOIST_LIBNODE_DATAGRAM_SOCKET_H_
#define CAMPHORHOIST_LIBNODE_DATAGRAM_SOCKET_H_

#include <cstdint>
#include <functional>
#include <string>
#include <system_error>

#include "camphorhoist/net_address.h"
#include "libbase/event_ptr.h"

namespace camphorhoist {

/// Non-blocking UDP socket on an event loop.
///
/// Thread safety: none; use on the loop's thread.
class DatagramSocket {
 public:
  using Handler = std::function<void(const NetAddress& from, std::string data)>;

  /// Larger datagrams are dropped, both when sending and on receipt.
  static constexpr size_t kMaxBytes = 1400;

  /// Preconditions: `base` outlives the socket; the handler does not destroy the socket.
  DatagramSocket(event_base* base, Handler handler);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  std::error_code Bind(const NetAddress& address);
  NetAddress bound_address() const { return bound_; }

  /// Sends one datagram. If the system does not accept it, it is counted as dropped.
  void Send(const NetAddress& to, const std::string& data);

  uint64_t sent_bytes() const { return sent_bytes_; }
  uint64_t received_bytes() const { return received_bytes_; }
  uint64_t dropped() const { return dropped_; }

 private:
  void Receive();

  event_base* base_;
  Handler handler_;
  int fd_ = -1;
  NetAddress bound_;
  EventPtr event_;
  uint64_t sent_bytes_ = 0;
  uint64_t received_bytes_ = 0;
  uint64_t dropped_ = 0;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBNODE_DATAGRAM_SOCKET_H_
