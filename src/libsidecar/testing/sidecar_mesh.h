#ifndef CAMPHORHOIST_LIBSIDECAR_TESTING_SIDECAR_MESH_H_
#define CAMPHORHOIST_LIBSIDECAR_TESTING_SIDECAR_MESH_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "libbase/http_client.h"
#include "libbase/precise_event_base.h"
#include "libcaller/testing/raw_peer.h"
#include "libsidecar/sidecar.h"
#include "libsidecar/testing/fake_store.h"

namespace camphorhoist {

/// An upstream that responds as the test specifies, and that records the requests it receives.
class FakeUpstream {
 public:
  /// Writes the response to the request with the head `head` to `connection`.
  using Responder = std::function<void(RawServer::Connection* connection, const std::string& head)>;

  explicit FakeUpstream(event_base* base)
      : server_(base, [this](size_t number) { OnRequest(number); }),
        responder_(&FakeUpstream::RespondOk) {}

  void set_responder(Responder responder) { responder_ = std::move(responder); }
  const NetAddress& address() const { return server_.address(); }
  /// Heads of the requests that arrived.
  const std::vector<std::string>& request_heads() const { return request_heads_; }
  RawServer& server() { return server_; }

  static std::string RequestId(const std::string& head);
  /// Responds with 200 and the body "ok".
  static void RespondOk(RawServer::Connection* connection, const std::string& head);

 private:
  void OnRequest(size_t number);

  RawServer server_;
  Responder responder_;
  std::vector<std::string> request_heads_;
};

/// Sidecars, their upstreams and a store in one process, on loopback addresses.
class SidecarMesh {
 public:
  struct Node {
    SidecarSettings settings;
    std::unique_ptr<FakeUpstream> upstream;
    std::unique_ptr<Sidecar> sidecar;
    int64_t sequence = 0;
    /// Version that the upstream reports; not reported if empty.
    std::string version;
  };

  static constexpr size_t kFastLinkBytesPerSecond = 100 << 20;

  /// All nodes serve the service "s". The configuration routes "h.example/safe/", "/unsafe/" and
  /// "/bulk/" to it. `link_bytes_per_second`: rate of the link of each VM.
  /// `rollout`: bounds on roll-outs, if the settings have them.
  explicit SidecarMesh(size_t nodes, size_t link_bytes_per_second = kFastLinkBytesPerSecond,
                       std::optional<RolloutBounds> rollout = std::nullopt);

  event_base* base() { return base_.get(); }
  FakeStore& store() { return *store_; }
  Node& at(size_t i) { return *nodes_.at(i); }
  /// Starts the sidecar of a node (again).
  void Start(size_t i);
  /// Ends a sidecar as if its process were killed.
  void Kill(size_t i) { nodes_.at(i)->sidecar.reset(); }
  /// Discards all segments that arrive from now on for the open connections between sidecars, so
  /// that they are silent for good without being closed. Connections opened later work. Returns the
  /// number of sockets concerned.
  size_t SilencePeerConnections();
  /// Sends a heartbeat of the upstream of a node. Fails the test if it is not acknowledged.
  void SendHeartbeat(size_t i, const std::string& state = "ready");
  void Deregister(size_t i);
  /// `timeout`: of all routes.
  void PutConfig(int version, std::chrono::milliseconds timeout = std::chrono::seconds(1));
  /// Waits until the sidecar of node `i` responds to a test request with 200.
  void WaitUntilServing(size_t i);
  /// Sends a request to the sidecar of node `i` on a new connection. Returns the bytes of the
  /// complete response, or those received until the connection was closed.
  std::string Call(size_t i, const std::string& method, const std::string& path,
                   const std::string& id);
  bool Pump(const std::function<bool()>& done) { return PumpUntil(base_.get(), done); }
  void PumpFor(std::chrono::milliseconds duration);
  int Ready(size_t i);
  std::string Metrics(size_t i);
  /// Number of requests with this id that reached the upstreams.
  size_t RequestCount(const std::string& id) const;
  /// Number of requests with this id that reached the upstream of node `i`.
  size_t RequestCount(size_t i, const std::string& id) const;

 private:
  HttpResponse Fetch(const NetAddress& address, HttpRequest request);

  EventBasePtr base_;
  std::unique_ptr<FakeStore> store_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::unique_ptr<HttpClient> client_;
  uint64_t incarnation_ = 100;
};

/// Spec of the configuration that `SidecarMesh::PutConfig` writes.
nlohmann::json ConfigSpec(int version, std::chrono::milliseconds timeout);
/// Text of a request to the host that the configuration routes.
std::string RequestText(const std::string& method, const std::string& path, const std::string& id,
                        const std::string& body,
                        std::chrono::milliseconds timeout = std::chrono::seconds(1));
/// Status code of a response; 0 if there is none.
int StatusOf(const std::string& response);
/// Whether the response contains all bytes of its body.
bool IsComplete(const std::string& response);
/// A loopback address that no other process with this function uses; `number` is 2 to 254.
std::string LoopbackIp(size_t number);
/// A free TCP port of an address from `LoopbackIp`, different in each call.
uint16_t FreePort(const std::string& ip);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_TESTING_SIDECAR_MESH_H_
