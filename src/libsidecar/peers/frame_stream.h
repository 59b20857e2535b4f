#ifndef CAMPHORHOIST_LIBSIDECAR_PEERS_FRAME_STREAM_H_
#define CAMPHORHOIST_LIBSIDECAR_PEERS_FRAME_STREAM_H_

#include <chrono>
#include <functional>
#include <string>

#include "camphorhoist/net_address.h"
#include "libbase/event_ptr.h"
#include "libsidecar/peers/peer_messages.h"

namespace camphorhoist {

/// One connection between two sidecars that carries frames.
///
/// Thread safety: none; use on the thread of the event loop. Handlers run on that thread and may
/// call `Send` and `Close`, but must not destroy the stream.
class FrameStream {
 public:
  struct Handlers {
    std::function<void()> on_connected;
    std::function<void(PeerMessage)> on_message;
    /// Called last. `reason` is a text for the log.
    std::function<void(const std::string& reason)> on_closed;
    /// Part of a frame has arrived: `available` of `announced` bytes (0 if its size is not known
    /// yet). Returns false if there is no memory for it, and the stream is closed. May be empty.
    std::function<bool(size_t announced, size_t available)> on_partial_frame = nullptr;
    /// Reading has been paused, since the peer does not read what was sent, or goes on. May be
    /// empty.
    std::function<void(bool paused)> on_paused = nullptr;
    /// A frame of `bytes` is sent, unless it is part of a paced result. May be empty.
    std::function<void(size_t bytes)> on_sent = nullptr;
  };
  /// Data that stays unacknowledged for longer means that the peer or the path has failed.
  static constexpr std::chrono::milliseconds kUnackedTimeout{1000};

  /// An accepted stream does not read while it holds more unsent bytes than this. The other side
  /// always reads, so that both ends never wait for each other.
  static constexpr size_t kMaxUnsentBytes = 256 << 10;

  /// Takes ownership of an accepted connection.
  FrameStream(event_base* base, evutil_socket_t fd, Handlers handlers);
  /// Connects to `address`; `on_connected` or `on_closed` follows within `timeout`.
  FrameStream(event_base* base, const NetAddress& address, std::chrono::milliseconds timeout,
              Handlers handlers);
  ~FrameStream() { Close(); }
  FrameStream(const FrameStream&) = delete;
  FrameStream& operator=(const FrameStream&) = delete;

  /// Sets the encoding of the frames that are sent from now on. Initially they are plain.
  void set_encoding(FrameEncoding encoding) { encoding_ = encoding; }
  /// Does nothing once the stream is closed.
  void Send(PeerMessage message);
  /// Closes the connection without calling a handler.
  void Close();
  bool open() const { return bufev_ != nullptr; }
  /// Number of bytes that the peer has not accepted yet.
  size_t unsent_bytes() const;
  /// Time at which data was last received.
  std::chrono::steady_clock::time_point last_read() const { return last_read_; }

 private:
  static void OnRead(bufferevent* bufev, void* arg);
  static void OnEvent(bufferevent* bufev, short what,  // NOLINT(google-runtime-int): libevent
                      void* arg);
  static void OnWritten(bufferevent* bufev, void* arg);
  /// Whether reading is paused; pauses it if too much is unsent.
  bool PauseIfUnread();
  void Fail(const std::string& reason);

  Handlers handlers_;
  BuffereventPtr bufev_;
  bool accepted_ = false;
  bool paused_ = false;
  FrameEncoding encoding_ = FrameEncoding::kPlain;
  std::chrono::steady_clock::time_point last_read_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_PEERS_FRAME_STREAM_H_
