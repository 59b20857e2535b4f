#ifndef CAMPHORHOIST_LIBBASE_HTTP_CLIENT_H_
#define CAMPHORHOIST_LIBBASE_HTTP_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include "camphorhoist/net_address.h"
#include "libbase/event_ptr.h"

namespace camphorhoist {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  HttpHeaders headers;
  std::string body;
};

/// Result of a request. `error` is `Errc::kUnavailable` if nothing was sent, and
/// `Errc::kUnknownEffect` if the request may have reached the server but no complete response
/// arrived.
struct HttpResponse {
  std::error_code error;
  int status = 0;
  HttpHeaders headers;
  std::string body;

  /// Value of the first header with this name (case-insensitive), or an empty string.
  std::string Header(const std::string& name) const;
};

/// Asynchronous HTTP/1.1 client for control traffic. Bodies are not streamed. Keeps idle
/// connections for reuse.
///
/// Thread safety: none; use on the thread of the event loop. Callbacks run on that thread, never
/// from inside `Send`. After destruction no callback runs.
class HttpClient {
 public:
  using Callback = std::function<void(HttpResponse)>;
  using RequestId = uint64_t;

  /// Precondition: `base` outlives the client.
  explicit HttpClient(event_base* base);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends `request`; `callback` runs exactly once, at the latest after `timeout` plus one second,
  /// unless the request is cancelled. A response body above `kMaxBodyBytes` is an error.
  RequestId Send(const NetAddress& server, HttpRequest request, std::chrono::milliseconds timeout,
                 Callback callback);

  /// Closes the connection of a request, whose callback does not run. Ids of requests that have a
  /// result are ignored. Not to be called from a callback of this client.
  void Cancel(RequestId id);

  /// Number of requests without a result so far.
  size_t in_flight() const;

  static constexpr int64_t kMaxBodyBytes = 4 << 20;

 private:
  class Exchange;

  event_base* base_;
  std::multimap<NetAddress, EvhttpConnectionPtr> idle_;
  RequestId next_request_id_ = 1;
  std::map<RequestId, std::unique_ptr<Exchange>> exchanges_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBBASE_HTTP_CLIENT_H_
