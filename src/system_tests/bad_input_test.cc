#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "system_tests/mesh.h"

namespace camphorhoist {
namespace {

using nlohmann::json;

/// Exit code of the CLI for a rejected change.
constexpr int kRejectedExitCode = 1;
constexpr int kIdleTimeoutMs = 3000;

struct InvalidChange {
  const char* name;
  json records;
  /// Substring of the CLI output that names the place or the reason of the error.
  const char* expected_text;
};

/// Sends invalid input to every port of a running node.
class BadInputTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BadInputTest);
  CPPUNIT_TEST(InvalidInputOnEveryPort);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against invalid input that crashes a node, changes the configuration in force, or is
  // dropped without an error response or a counter.
  void InvalidInputOnEveryPort() {
    Mesh mesh;
    mesh.StartNodes({"dc1", "dc2"});
    mesh.StartUpstream("orders", {0});
    mesh.WaitEndpoints("orders", 1);
    const std::string version = mesh.ApplyEverywhere(0, ServiceWithRoute("orders", 2000));
    SendInvalidChanges(&mesh);
    SendOversizedBodies(&mesh);
    SendMalformedHttp(&mesh);
    SendMalformedFrames(&mesh);
    SendMalformedDatagrams(&mesh);
    StartNodeOfAnotherMesh(&mesh);
    for (size_t i = 0; i < mesh.size(); ++i) {
      CPPUNIT_ASSERT_MESSAGE(mesh.node(i).process->LogTail(), mesh.node(i).process->Running());
      CPPUNIT_ASSERT_EQUAL(version, mesh.Version(i));
      CPPUNIT_ASSERT_EQUAL(200, Fetch(mesh.node(i).caller_address(), "GET", "/orders/1").status);
      mesh.WaitVersionInStatus(i, version);
    }
  }

 private:
  static void SendInvalidChanges(Mesh* mesh) {
    const json valid = ServiceWithRoute("orders", 2000);
    json unknown_schema = Route("x", "orders", 2000);
    unknown_schema["schema"] = 99;
    json wrong_type = Route("x", "orders", 2000);
    wrong_type["timeout_ms"] = "soon";
    const InvalidChange changes[] = {
        {"not JSON", "[{\"schema\": 1,", "JSON"},
        {"malformed record", json::array({wrong_type}), "timeout_ms"},
        {"unknown schema", json::array({unknown_schema}), "schema"},
        {"missing service", json::array({Route("x", "nowhere", 2000)}), "nowhere"},
        {"duplicate name", json::array({valid[1], valid[1]}), "route/orders"},
    };
    for (const InvalidChange& it : changes) {
      const ProgramResult result = mesh->Apply(0, it.records);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name + result.combined_output, kRejectedExitCode,
                                   result.exit_code);
      CPPUNIT_ASSERT_MESSAGE(it.name + (": " + result.combined_output),
                             result.combined_output.find(it.expected_text) != std::string::npos);
    }
  }

  static void SendOversizedBodies(Mesh* mesh) {
    const std::string change(600 << 10, ' ');
    CPPUNIT_ASSERT_EQUAL(
        413, Fetch(mesh->node(0).operator_address(), "POST", "/v1/changes", change).status);
    const std::string order((1 << 20) + 1, 'x');
    CPPUNIT_ASSERT_EQUAL(413,
                         Fetch(mesh->node(0).caller_address(), "POST", "/orders/1", order).status);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mesh->upstream(0).RunCount());
  }

  static void SendMalformedHttp(Mesh* mesh) {
    const char* const requests[] = {
        "GARBAGE\r\n\r\n",
        "GET / HTTP/9.9\r\nnot a header\r\n\r\n",
        "POST /orders/1 HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n",
        "POST /orders/1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    };
    for (const char* port : {"caller", "operator", "upstream"}) {
      const NetAddress address = mesh->node(0).process->Address(port);
      for (const char* it : requests) {
        bool closed = false;
        const std::string response = ExchangeBytes(address, it, kIdleTimeoutMs, &closed);
        const std::string context = std::string(port) + ": " + it + " -> " + response;
        const bool error_response = response.compare(0, 10, "HTTP/1.1 4") == 0 ||
                                    response.compare(0, 10, "HTTP/1.0 4") == 0 ||
                                    response.compare(0, 10, "HTTP/1.1 5") == 0;
        CPPUNIT_ASSERT_MESSAGE(context, error_response || (closed && response.empty()));
      }
    }
    CPPUNIT_ASSERT_EQUAL(size_t{0}, mesh->upstream(0).RunCount());
  }

  static int RejectedConnections(Mesh* mesh) {
    return mesh->Dump(0).at("node_connections").at("rejected").get<int>();
  }

  static void SendMalformedFrames(Mesh* mesh) {
    const int before = RejectedConnections(mesh);
    const std::string frames[] = {
        std::string(64, '\xff'),                     // more segments than a message may have
        std::string("\0\0\0\0\xff\xff\xff\x7f", 8),  // a segment of 16 GiB
        std::string("\0\0\0\0\1\0\0\0\5\5\5\5\5\5\5\5", 16),  // a root pointer that is not a struct
    };
    for (const std::string& it : frames) {
      bool closed = false;
      // The node closes the connection with an RPC abort message that carries the reason as text.
      const std::string response =
          ExchangeBytes(mesh->node(0).node_address, it, kIdleTimeoutMs, &closed);
      CPPUNIT_ASSERT_MESSAGE("the connection was closed", closed);
      CPPUNIT_ASSERT_MESSAGE("reason: " + response, response.find("Message ") != std::string::npos);
    }
    const int expected = before + static_cast<int>(std::size(frames));
    WaitFor("broken frames are counted", [&] { return RejectedConnections(mesh) == expected; });
  }

  static void SendMalformedDatagrams(Mesh* mesh) {
    const int before = MalformedDatagrams(mesh);
    const std::string datagrams[] = {std::string(200, '\xff'), std::string("x"),
                                     std::string("\0\0\0\0\1\0\0\0\5\5\5\5\5\5\5\5", 16)};
    for (const std::string& it : datagrams) SendDatagram(mesh->node(0).node_address, it);
    const int expected = before + static_cast<int>(std::size(datagrams));
    WaitFor("malformed datagrams are counted",
            [&] { return MalformedDatagrams(mesh) >= expected; });
  }

  static void StartNodeOfAnotherMesh(Mesh* mesh) {
    const auto other_mesh_node = mesh->StartProgram(
        "camphorhoistd",
        {"--mesh=another-mesh", "--data-centre=dc1", "--region=r1", "--caller-listen=127.0.0.1:0",
         "--node-listen=127.0.0.1:0", "--platform=" + mesh->platform().LastAddress().ToString(),
         "--seeds=" + mesh->node(0).node_address.ToString()});
    other_mesh_node->WaitReady();
    WaitFor("datagrams of another mesh are counted",
            [mesh] { return mesh->Dump(0).at("members").at("wrong_mesh").get<int>() > 0; });
    CPPUNIT_ASSERT_EQUAL(mesh->size(), mesh->Dump(0).at("members").at("live").get<size_t>());
  }

  static int MalformedDatagrams(Mesh* mesh) {
    return mesh->Dump(0).at("members").at("malformed").get<int>();
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(BadInputTest);

}  // namespace
}  // namespace camphorhoist
