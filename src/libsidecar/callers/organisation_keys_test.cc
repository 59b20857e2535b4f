#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "libbase/log.h"
#include "libsidecar/peers/peer_messages.h"
#include "libsidecar/store/store_sync.h"
#include "libsidecar/testing/sidecar_mesh.h"

namespace camphorhoist {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kOrganisationPriority = 7;

/// Writes the log, with all levels, to a file until the object is destroyed.
class CapturedLog {
 public:
  CapturedLog() : file_(std::tmpfile()), saved_(dup(STDERR_FILENO)) {
    dup2(fileno(file_), STDERR_FILENO);
    Configure("debug");
  }
  ~CapturedLog() {
    Configure("error");
    dup2(saved_, STDERR_FILENO);
    close(saved_);
    std::fclose(file_);
  }
  CapturedLog(const CapturedLog&) = delete;
  CapturedLog& operator=(const CapturedLog&) = delete;

  std::string Read() const {
    std::string text;
    char buf[4096];
    off_t at = 0;
    ssize_t n = 0;
    while ((n = pread(fileno(file_), buf, sizeof(buf), at)) > 0) {
      text.append(buf, static_cast<size_t>(n));
      at += n;
    }
    return text;
  }

 private:
  static void Configure(const char* level) {
    Findings findings;
    ConfigureLogging(level, "test", "log level", &findings);
  }

  std::FILE* file_;
  int saved_;
};

/// A connection on which requests are sent one after the other.
class KeepAliveCaller {
 public:
  KeepAliveCaller(SidecarMesh* mesh, size_t node)
      : mesh_(mesh), client_(mesh->at(node).settings.caller_listen) {}

  /// Returns the response to a request with these header lines.
  std::string Send(const std::string& path, const std::string& id,
                   const std::string& header_lines) {
    const size_t start = client_.Read().size();
    std::string text = RequestText("GET", path, id, "");
    text.insert(text.find("Content-Length"), header_lines);
    client_.Send(text);
    CPPUNIT_ASSERT(mesh_->Pump([&] { return IsComplete(client_.Read().substr(start)); }));
    return client_.Read().substr(start);
  }
  int StatusWithKey(const std::string& key, const std::string& id) {
    return StatusOf(Send("/safe/x", id, "X-Credential: " + key + "\r\n"));
  }
  int StatusWithoutKey(const std::string& id) { return StatusOf(Send("/safe/x", id, "")); }

 private:
  SidecarMesh* mesh_;
  RawClient client_;
};

json SpecWithOrganisations(int version, const json& organisations,
                           milliseconds timeout = milliseconds(1000)) {
  json spec = ConfigSpec(version, timeout);
  spec["routes"]["columns"].push_back("public");
  json public_route = spec["routes"]["rows"][0];
  public_route[0] = public_route[2] = "/public/";
  public_route.push_back(true);
  spec["routes"]["rows"].push_back(public_route);
  spec["tenants"] = {{"columns", {"name", "apiKeys", "priority"}}, {"rows", organisations}};
  return spec;
}

const json& Organisations() {
  static const json kOrganisations = {{"org-a", {"secret-a"}, kOrganisationPriority},
                                      {"org-b", {"secret-b", "secret-c"}, nullptr}};
  return kOrganisations;
}

bool InForce(SidecarMesh* mesh, size_t node, int version) {
  return mesh->Metrics(node).find("config_version " + std::to_string(version) + "\n") !=
         std::string::npos;
}

void Apply(SidecarMesh* mesh, size_t node, int version, const json& spec) {
  mesh->store().Put("config", "main", spec);
  CPPUNIT_ASSERT(mesh->Pump([&] { return InForce(mesh, node, version); }));
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

class OrganisationKeysTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OrganisationKeysTest);
  CPPUNIT_TEST(UpstreamSeesTheNameAndNeverTheKey);
  CPPUNIT_TEST(PeerReceivesTheNameAndNeverTheKey);
  CPPUNIT_TEST(KeyInATrailerIsRemoved);
  CPPUNIT_TEST(RejectsMissingUnknownAndRevokedKeys);
  CPPUNIT_TEST(PublicRoutesNeedNoKey);
  CPPUNIT_TEST(NestedCallsNeedNoKey);
  CPPUNIT_TEST(NestedCallsAreRefusedAfterRestart);
  CPPUNIT_TEST(SharedKeysLeaveTheLastConfigurationActive);
  CPPUNIT_TEST(LastKeysApplyWhileTheStoreIsUnreachable);
  CPPUNIT_TEST(ChecksRunInTheDocumentedOrder);
  CPPUNIT_TEST(NoKeyIsNeededWithoutOrganisations);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a key that leaves the sidecar of the caller, in a request, a log line, a metric
  // or the store, and against a caller that names its organisation itself.
  void UpstreamSeesTheNameAndNeverTheKey() {
    const CapturedLog log;
    for (const size_t server : {0, 1}) {
      SidecarMesh mesh(2);
      mesh.SendHeartbeat(server);
      mesh.WaitUntilServing(0);
      Apply(&mesh, 0, 2, SpecWithOrganisations(2, Organisations()));
      KeepAliveCaller caller(&mesh, 0);
      const std::string response =
          caller.Send("/safe/x", "id1",
                      "X-Tenant-Id: forged\r\nx-credential: secret-b \r\nX-TENANT-ID: forged\r\n"
                      "X-Credential: secret-a\r\nConnection: keep-alive, X-Tenant-Id\r\n");
      CPPUNIT_ASSERT_EQUAL(200, StatusOf(response));
      CPPUNIT_ASSERT_EQUAL(401, caller.StatusWithKey("secret-unknown", "id2"));
      CPPUNIT_ASSERT_EQUAL(size_t{1}, mesh.RequestCount(server, "id1"));
      const std::string& head = mesh.at(server).upstream->request_heads().back();
      CPPUNIT_ASSERT(Contains(head, "\r\nX-Tenant-Id: org-b\r\n"));
      CPPUNIT_ASSERT(!Contains(head, "forged"));
      CPPUNIT_ASSERT(!Contains(head, "secret"));
      for (const size_t node : {0, 1}) {
        CPPUNIT_ASSERT(!Contains(mesh.Metrics(node), "secret"));
        const json entry = mesh.store().Spec(StoreSync::kEntryKind, mesh.at(node).settings.node);
        CPPUNIT_ASSERT(!Contains(entry.dump(), "secret"));
      }
      CPPUNIT_ASSERT(Contains(mesh.Metrics(0), "unknown_key"));
    }
    CPPUNIT_ASSERT(Contains(log.Read(), "reason=unknown_key"));
    CPPUNIT_ASSERT(!Contains(log.Read(), "secret"));
  }

  // Guards against a key in the messages to other sidecars, and against an organisation whose
  // priority the sidecar of the server does not receive.
  void PeerReceivesTheNameAndNeverTheKey() {
    SidecarMesh mesh(1);
    RawServer peer(mesh.base(), [](size_t) {});
    mesh.store().Put(StoreSync::kEntryKind, "node-x",
                     {{"address", peer.address().ToString()}, {"data_centre", "a"}});
    const EvbufferPtr input(evbuffer_new());
    const EvbufferPtr output(evbuffer_new());
    PeerHello hello;
    hello.node = "node-x";
    hello.incarnation = 1;
    hello.data_centre = "a";
    hello.upstream.service = "s";
    hello.upstream.instance = "i-x";
    hello.upstream.ready = true;
    hello.upstream.load.limit = 4;
    std::string received;
    std::vector<CallOffer> offers;
    const auto send = [&](size_t connection, PeerMessage message) {
      AppendFrame(std::move(message), output.get());
      std::string bytes(evbuffer_get_length(output.get()), '\0');
      evbuffer_remove(output.get(), bytes.data(), bytes.size());
      peer.at(connection).Write(bytes);
    };
    const auto serve_peer = [&] {
      for (size_t i = 0; i < peer.size(); ++i) {
        const std::string bytes = std::exchange(peer.at(i).received, "");
        received += bytes;
        evbuffer_add(input.get(), bytes.data(), bytes.size());
        PeerMessage message;
        while (ExtractFrame(input.get(), &message) == FrameStatus::kMessage) {
          const auto* in = std::get_if<PeerHello>(&message);
          if (in != nullptr && !in->bulk) send(i, hello);
          auto* offer = std::get_if<CallOffer>(&message);
          if (offer == nullptr) continue;
          CallResult result;
          result.id = offer->id;
          result.kind = ResultKind::kResponse;
          result.status = 200;
          offers.push_back(std::move(*offer));
          send(i, std::move(result));
        }
        evbuffer_drain(input.get(), evbuffer_get_length(input.get()));
      }
    };
    Apply(&mesh, 0, 2, SpecWithOrganisations(2, Organisations()));
    const auto call = [&](const std::string& id, const std::string& key) {
      RawClient client(mesh.at(0).settings.caller_listen);
      std::string text = RequestText("GET", "/safe/x", id, "");
      text.insert(text.find("Content-Length"),
                  "X-Tenant-Id: forged\r\nX-Credential: " + key + "\r\n");
      client.Send(text);
      CPPUNIT_ASSERT(mesh.Pump([&] {
        serve_peer();
        return IsComplete(client.Read());
      }));
      return StatusOf(client.Read());
    };
    CPPUNIT_ASSERT(mesh.Pump([&] { return call("id1", "secret-b") == 200; }));
    CPPUNIT_ASSERT_EQUAL(200, call("id2", "secret-a"));
    CPPUNIT_ASSERT_EQUAL(std::string("org-b"), offers.front().organisation);
    CPPUNIT_ASSERT_EQUAL(1, offers.front().priority);
    CPPUNIT_ASSERT_EQUAL(std::string("org-a"), offers.back().organisation);
    CPPUNIT_ASSERT_EQUAL(kOrganisationPriority, offers.back().priority);
    CPPUNIT_ASSERT(Contains(received, "org-a"));
    CPPUNIT_ASSERT(!Contains(received, "secret"));
  }

  // Guards against a key or an organisation that reaches the upstream from the trailer of a chunked
  // request.
  void KeyInATrailerIsRemoved() {
    SidecarMesh mesh(1);
    mesh.SendHeartbeat(0);
    mesh.WaitUntilServing(0);
    Apply(&mesh, 0, 2, SpecWithOrganisations(2, Organisations()));
    RawClient client(mesh.at(0).settings.caller_listen);
    client.Send(
        "POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: id1\r\n"
        "X-Credential: secret-a\r\nTransfer-Encoding: chunked\r\n\r\n"
        "1\r\nx\r\n0\r\nX-Credential: secret-b\r\nX-Tenant-Id: forged\r\n\r\n");
    CPPUNIT_ASSERT(mesh.Pump([&] { return IsComplete(client.Read()); }));
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(client.Read()));
    const std::string& head = mesh.at(0).upstream->request_heads().back();
    CPPUNIT_ASSERT(Contains(head, "\r\nX-Tenant-Id: org-a\r\n"));
    CPPUNIT_ASSERT(!Contains(head, "secret"));
    CPPUNIT_ASSERT(!Contains(head, "forged"));
  }

  // Guards against requests that run without a valid key, also on a connection that was opened
  // before the key was revoked, and against a rejection that ends the connection.
  void RejectsMissingUnknownAndRevokedKeys() {
    SidecarMesh mesh(2);
    mesh.SendHeartbeat(1);
    mesh.WaitUntilServing(0);
    KeepAliveCaller caller(&mesh, 0);
    CPPUNIT_ASSERT_EQUAL(200, caller.StatusWithoutKey("before"));
    Apply(&mesh, 0, 2, SpecWithOrganisations(2, Organisations()));
    CPPUNIT_ASSERT_EQUAL(401, caller.StatusWithoutKey("missing"));
    CPPUNIT_ASSERT_EQUAL(401, caller.StatusWithKey("", "empty"));
    CPPUNIT_ASSERT_EQUAL(401, caller.StatusWithKey("secret", "unknown"));
    CPPUNIT_ASSERT_EQUAL(401, caller.StatusWithKey("org-a", "name"));
    CPPUNIT_ASSERT_EQUAL(200, caller.StatusWithKey("secret-a", "valid"));
    Apply(&mesh, 0, 3,
          SpecWithOrganisations(3, {{"org-a", {"secret-d"}, nullptr}, {"org-b", {"secret-b"}}}));
    CPPUNIT_ASSERT_EQUAL(401, caller.StatusWithKey("secret-a", "revoked"));
    CPPUNIT_ASSERT_EQUAL(200, caller.StatusWithKey("secret-d", "added"));
    CPPUNIT_ASSERT_EQUAL(200, caller.StatusWithKey("secret-b", "kept"));
    for (const char* id : {"missing", "empty", "unknown", "name", "revoked"}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(id, size_t{0}, mesh.RequestCount(id));
    }
    const std::string metrics = mesh.Metrics(0);
    CPPUNIT_ASSERT(Contains(metrics, "missing_key"));
    CPPUNIT_ASSERT(Contains(metrics, "unknown_key"));
  }

  // Guards against public routes that reject callers, or on which a caller names an organisation
  // itself.
  void PublicRoutesNeedNoKey() {
    SidecarMesh mesh(2);
    mesh.SendHeartbeat(1);
    mesh.WaitUntilServing(0);
    Apply(&mesh, 0, 2, SpecWithOrganisations(2, Organisations()));
    KeepAliveCaller caller(&mesh, 0);
    const auto head = [&](const std::string& header_lines) {
      const std::string lines = "X-Tenant-Id: forged\r\n" + header_lines;
      CPPUNIT_ASSERT_EQUAL(200, StatusOf(caller.Send("/public/x", "id1", lines)));
      return mesh.at(1).upstream->request_heads().back();
    };
    CPPUNIT_ASSERT(!Contains(head(""), "X-Tenant-Id"));
    CPPUNIT_ASSERT(!Contains(head("X-Credential: secret-x\r\n"), "X-Tenant-Id"));
    CPPUNIT_ASSERT(!Contains(head("X-Credential: secret-x\r\n"), "secret"));
    CPPUNIT_ASSERT(Contains(head("X-Credential: secret-c\r\n"), "\r\nX-Tenant-Id: org-b\r\n"));
  }

  // Guards against calls that fail because their server calls another service, and against an id
  // that gives access without a key after its parent has ended.
  void NestedCallsNeedNoKey() {
    SidecarMesh mesh(1);
    mesh.SendHeartbeat(0);
    mesh.WaitUntilServing(0);
    constexpr milliseconds kLongestTimeout(2000);
    Apply(&mesh, 0, 2, SpecWithOrganisations(2, Organisations(), kLongestTimeout));
    // Until then a request with the id of a nested one is refused instead of rejected.
    mesh.PumpFor(kLongestTimeout + milliseconds(100));
    RawServer::Connection* parent = nullptr;
    std::string parent_head;
    mesh.at(0).upstream->set_responder(
        [&](RawServer::Connection* connection, const std::string& head) {
          if (FakeUpstream::RequestId(head) != "parent") {
            return FakeUpstream::RespondOk(connection, head);
          }
          parent = connection;
          parent_head = head;
        });
    RawClient client(mesh.at(0).settings.caller_listen);
    std::string text = RequestText("POST", "/unsafe/x", "parent", "", kLongestTimeout);
    text.insert(text.find("Content-Length"), "X-Credential: secret-a\r\n");
    client.Send(text);
    CPPUNIT_ASSERT(mesh.Pump([&] { return parent != nullptr; }));
    KeepAliveCaller caller(&mesh, 0);
    CPPUNIT_ASSERT_EQUAL(200,
                         StatusOf(caller.Send("/safe/x", "parent.1", "X-Tenant-Id: forged\r\n")));
    CPPUNIT_ASSERT(!Contains(mesh.at(0).upstream->request_heads().back(), "X-Tenant-Id"));
    CPPUNIT_ASSERT_EQUAL(401, caller.StatusWithoutKey("nobody.1"));
    FakeUpstream::RespondOk(parent, parent_head);
    CPPUNIT_ASSERT(mesh.Pump([&] { return IsComplete(client.Read()); }));
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(client.Read()));
    CPPUNIT_ASSERT_EQUAL(401, caller.StatusWithoutKey("parent.2"));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mesh.RequestCount("nobody.1") + mesh.RequestCount("parent.2"));
  }

  // Guards against a 401, which fails the call for which it was made, for a nested request that a
  // sidecar does not recognise because it has just been restarted.
  void NestedCallsAreRefusedAfterRestart() {
    constexpr milliseconds kLongestTimeout(4000);
    SidecarMesh mesh(2);
    mesh.SendHeartbeat(1);
    mesh.WaitUntilServing(0);
    Apply(&mesh, 0, 2, SpecWithOrganisations(2, Organisations(), kLongestTimeout));
    mesh.Kill(0);
    mesh.Start(0);
    const auto started = std::chrono::steady_clock::now();
    CPPUNIT_ASSERT(mesh.Pump([&] { return InForce(&mesh, 0, 2); }));
    KeepAliveCaller caller(&mesh, 0);
    const std::string refused = caller.Send("/safe/x", "parent.1", "");
    CPPUNIT_ASSERT_EQUAL(503, StatusOf(refused));
    CPPUNIT_ASSERT(Contains(refused, "\r\nRetry-After: "));
    CPPUNIT_ASSERT_EQUAL(401, caller.StatusWithoutKey("plain"));
    CPPUNIT_ASSERT_EQUAL(401, caller.StatusWithKey("unknown", "parent.2"));
    CPPUNIT_ASSERT(
        mesh.Pump([&] { return std::chrono::steady_clock::now() - started > kLongestTimeout; }));
    CPPUNIT_ASSERT_EQUAL(401, caller.StatusWithoutKey("parent.3"));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mesh.RequestCount("parent.1"));
    CPPUNIT_ASSERT(Contains(mesh.Metrics(0), "unknown_parent"));
  }

  // Guards against requests that are served for another organisation because two have the same key.
  void SharedKeysLeaveTheLastConfigurationActive() {
    const CapturedLog log;
    SidecarMesh mesh(1);
    mesh.SendHeartbeat(0);
    mesh.WaitUntilServing(0);
    Apply(&mesh, 0, 2, SpecWithOrganisations(2, Organisations()));
    mesh.store().Put("config", "main",
                     SpecWithOrganisations(3, {{"org-a", {"secret-d"}}, {"org-b", {"secret-d"}}}));
    CPPUNIT_ASSERT(mesh.Pump([&] { return Contains(log.Read(), "event=rejected"); }));
    CPPUNIT_ASSERT(InForce(&mesh, 0, 2));
    KeepAliveCaller caller(&mesh, 0);
    CPPUNIT_ASSERT_EQUAL(401, caller.StatusWithKey("secret-d", "shared"));
    CPPUNIT_ASSERT_EQUAL(200, caller.StatusWithKey("secret-a", "last"));
    CPPUNIT_ASSERT(!Contains(log.Read(), "secret"));
  }

  // Guards against keys that are forgotten, or no longer required, without the store, and against a
  // restarted sidecar that serves requests without a configuration.
  void LastKeysApplyWhileTheStoreIsUnreachable() {
    SidecarMesh mesh(1);
    mesh.SendHeartbeat(0);
    mesh.WaitUntilServing(0);
    Apply(&mesh, 0, 2, SpecWithOrganisations(2, Organisations()));
    mesh.store().set_fault(FakeStore::Fault::kBusy);
    mesh.PumpFor(milliseconds(300));
    {
      KeepAliveCaller caller(&mesh, 0);
      CPPUNIT_ASSERT_EQUAL(200, caller.StatusWithKey("secret-a", "valid"));
      CPPUNIT_ASSERT_EQUAL(401, caller.StatusWithoutKey("missing"));
    }
    mesh.Kill(0);
    mesh.Start(0);
    mesh.SendHeartbeat(0);
    KeepAliveCaller caller(&mesh, 0);
    CPPUNIT_ASSERT_EQUAL(503, caller.StatusWithoutKey("restarted"));
    CPPUNIT_ASSERT_EQUAL(503, caller.StatusWithKey("unknown", "restarted"));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mesh.RequestCount("restarted"));
  }

  // Guards against a 401 for a request that no key would make valid.
  void ChecksRunInTheDocumentedOrder() {
    SidecarMesh mesh(1);
    Apply(&mesh, 0, 2, SpecWithOrganisations(2, Organisations()));
    KeepAliveCaller caller(&mesh, 0);
    CPPUNIT_ASSERT_EQUAL(404, StatusOf(caller.Send("/nowhere/x", "id1", "")));
    CPPUNIT_ASSERT_EQUAL(400, StatusOf(caller.Send("/safe/x", "", "")));
    CPPUNIT_ASSERT_EQUAL(401, caller.StatusWithoutKey("id1"));
    // No server is known.
    CPPUNIT_ASSERT_EQUAL(503, caller.StatusWithKey("secret-a", "id1"));
  }

  // Guards against a deployment without organisations that rejects requests, or that forwards keys.
  void NoKeyIsNeededWithoutOrganisations() {
    SidecarMesh mesh(2);
    mesh.SendHeartbeat(1);
    mesh.WaitUntilServing(0);
    KeepAliveCaller caller(&mesh, 0);
    for (const int version : {1, 2}) {
      if (version == 2) Apply(&mesh, 0, 2, SpecWithOrganisations(2, json::array()));
      CPPUNIT_ASSERT_EQUAL(200, caller.StatusWithoutKey("id.1"));
      CPPUNIT_ASSERT_EQUAL(
          200, StatusOf(caller.Send("/safe/x", "id1",
                                    "X-Credential: secret-a\r\nX-Tenant-Id: forged\r\n")));
      const std::string& head = mesh.at(1).upstream->request_heads().back();
      CPPUNIT_ASSERT(!Contains(head, "secret"));
      CPPUNIT_ASSERT(!Contains(head, "X-Tenant-Id"));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrganisationKeysTest);

}  // namespace
}  // namespace camphorhoist
