#include "libsidecar/peers/permit_exchange.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "libsidecar/testing/sidecar_mesh.h"

namespace camphorhoist {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr double kRate = 4;
constexpr double kBurst = 4;
constexpr int kOrganisations = 12;

class PermitExchangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PermitExchangeTest);
  CPPUNIT_TEST(LimitHoldsForAllSenders);
  CPPUNIT_TEST(OwnerThatEndsIsReplaced);
  CPPUNIT_TEST(ReplacedVmOwnsNothing);
  CPPUNIT_TEST(StoppedSidecarHoldsNoShare);
  CPPUNIT_TEST(StopIsWrittenToTheStore);
  CPPUNIT_TEST(LimitThatIsRemovedHoldsNoRequests);
  CPPUNIT_TEST(MessagesKeepTheirFields);
  CPPUNIT_TEST_SUITE_END();

  static void PutLimits(SidecarMesh* mesh, int version, double rate) {
    json spec = ConfigSpec(version, std::chrono::seconds(1));
    spec["tenants"] = {{"columns", {"name", "apiKeys", "ratePerS", "burst"}},
                       {"rows",
                        {{"limited", json::array({"key-l"}), rate, kBurst},
                         {"free", json::array({"key-f"}), 0, 0}}}};
    mesh->store().Put("config", "main", spec);
  }

  static std::string Call(SidecarMesh* mesh, size_t node, const std::string& key,
                          const std::string& id) {
    RawClient client(mesh->at(node).settings.caller_listen);
    std::string text = RequestText("GET", "/safe/x", id, "");
    text.insert(text.find("\r\n") + 2, "X-Credential: " + key + "\r\n");
    client.Send(text);
    CPPUNIT_ASSERT(mesh->Pump([&] { return IsComplete(client.Read()) || client.closed(); }));
    return client.Read();
  }

  // Waits until requests of the limited organisation are permitted at all nodes.
  static void WaitUntilPermitted(SidecarMesh* mesh, const std::vector<size_t>& nodes) {
    int number = 0;
    for (const size_t node : nodes) {
      CPPUNIT_ASSERT(mesh->Pump([&] {
        const std::string id = "p-" + std::to_string(node) + "-" + std::to_string(number++);
        return StatusOf(Call(mesh, node, "key-l", id)) == 200;
      }));
    }
  }

 public:
  // Guards against a limit that each sidecar applies to its own requests only, and against
  // rejected requests that were executed, or that do not state when to try again.
  void LimitHoldsForAllSenders() {
    SidecarMesh mesh(3);
    for (size_t i = 0; i < 3; ++i) mesh.SendHeartbeat(i);
    for (size_t i = 0; i < 3; ++i) mesh.WaitUntilServing(i);
    PutLimits(&mesh, 2, kRate);
    for (size_t i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT(mesh.Pump([&] { return StatusOf(Call(&mesh, i, "", "c")) == 401; }));
    }
    WaitUntilPermitted(&mesh, {0, 1, 2});
    const auto start = steady_clock::now();
    const auto end = start + std::chrono::seconds(3);
    size_t permitted = 0;
    size_t rejected = 0;
    for (int i = 0; steady_clock::now() < end; ++i) {
      const std::string id = "id-" + std::to_string(i);
      const std::string response = Call(&mesh, static_cast<size_t>(i % 3), "key-l", id);
      const int status = StatusOf(response);
      CPPUNIT_ASSERT_MESSAGE(response, status == 200 || status == 429);
      CPPUNIT_ASSERT_EQUAL(size_t{status == 200 ? 1U : 0U}, mesh.RequestCount(id));
      if (status == 429) CPPUNIT_ASSERT(response.find("Retry-After: ") != std::string::npos);
      ++(status == 200 ? permitted : rejected);
    }
    CPPUNIT_ASSERT(rejected > 0);
    CPPUNIT_ASSERT(permitted >= static_cast<size_t>(kRate));
    const double elapsed = std::chrono::duration<double>(steady_clock::now() - start).count();
    CPPUNIT_ASSERT(static_cast<double>(permitted) <= (kRate * elapsed + kBurst) * 1.1 + 20);
    for (int i = 0; i < 50; ++i) {
      const std::string id = "free-" + std::to_string(i);
      CPPUNIT_ASSERT_EQUAL(200, StatusOf(Call(&mesh, 0, "key-f", id)));
    }
    size_t owners = 0;
    for (size_t i = 0; i < 3; ++i) {
      if (mesh.Metrics(i).find("camphorhoist_organisations_owned 1\n") != std::string::npos) {
        ++owners;
      }
    }
    CPPUNIT_ASSERT_EQUAL(size_t{1}, owners);
  }

  // Guards against an organisation whose requests are rejected for good after its owner ended, or
  // after it is back.
  void OwnerThatEndsIsReplaced() {
    SidecarMesh mesh(3);
    PutLimits(&mesh, 2, 50);
    for (size_t i = 0; i < 3; ++i) mesh.SendHeartbeat(i);
    WaitUntilPermitted(&mesh, {0, 1, 2});
    for (size_t i = 0; i < 3; ++i) {
      mesh.Kill(i);
      WaitUntilPermitted(&mesh, {(i + 1) % 3, (i + 2) % 3});
      mesh.Start(i);
      mesh.SendHeartbeat(i);
      WaitUntilPermitted(&mesh, {0, 1, 2});
    }
  }

  // Guards against a VM whose address now belongs to another VM, and that is regarded as reachable
  // and stays the owner of a third of these organisations, so that no sidecar issues their permits.
  void ReplacedVmOwnsNothing() {
    SidecarMesh mesh(2);
    for (size_t i = 0; i < 2; ++i) mesh.SendHeartbeat(i);
    for (size_t i = 0; i < 2; ++i) mesh.WaitUntilServing(i);
    json spec = ConfigSpec(2, std::chrono::seconds(1));
    json rows = json::array();
    for (int i = 0; i < kOrganisations; ++i) {
      const std::string number = std::to_string(i);
      rows.push_back({"o" + number, json::array({"key-" + number}), 50, 50});
    }
    spec["tenants"] = {{"columns", {"name", "apiKeys", "ratePerS", "burst"}}, {"rows", rows}};
    mesh.store().Put("config", "main", spec);
    // The address of the VM "gone" belongs to node 1.
    mesh.store().Put(
        "sidecars", "gone",
        {{"address", mesh.at(1).settings.peer_listen.ToString()}, {"data_centre", "a"}});
    for (int i = 0; i < kOrganisations; ++i) {
      const std::string number = std::to_string(i);
      int attempt = 0;
      CPPUNIT_ASSERT(mesh.Pump([&] {
        const std::string id = "r-" + number + "-" + std::to_string(attempt++);
        return StatusOf(Call(&mesh, 0, "key-" + number, id)) == 200;
      }));
    }
    const auto owned = [&mesh](size_t node) {
      const std::string name = "camphorhoist_organisations_owned ";
      const std::string metrics = mesh.Metrics(node);
      const size_t at = metrics.find(name);
      return at == std::string::npos ? 0 : std::stoi(metrics.substr(at + name.size()));
    };
    CPPUNIT_ASSERT(mesh.Pump([&] { return owned(0) + owned(1) == kOrganisations; }));
  }

  // Guards against the VM of a sidecar that has stopped, which does not respond any more, and which
  // processes that are started later wait for before they issue permits.
  void StoppedSidecarHoldsNoShare() {
    SidecarMesh mesh(2);
    RawServer silent(mesh.base(), [](size_t) {});
    const auto put_entry = [&](bool stopped) {
      json spec = {{"address", silent.address().ToString()}, {"data_centre", "a"}};
      if (stopped) spec["stopped"] = true;
      mesh.store().Put("sidecars", "gone", spec);
    };
    const auto has_share = [&mesh](size_t node, const std::string& share) {
      return mesh.Metrics(node).find("camphorhoist_organisations_share " + share + "\n") !=
             std::string::npos;
    };
    put_entry(true);
    PutLimits(&mesh, 2, 50);
    for (size_t i = 0; i < 2; ++i) {
      mesh.Kill(i);
      mesh.Start(i);
      mesh.SendHeartbeat(i);
    }
    for (size_t i = 0; i < 2; ++i) {
      CPPUNIT_ASSERT(mesh.Pump([&] { return has_share(i, "1"); }));
    }
    // A process that is started again on the VM and cannot be reached may issue permits.
    put_entry(false);
    for (size_t i = 0; i < 2; ++i) {
      CPPUNIT_ASSERT(mesh.Pump([&] { return has_share(i, "0.666667"); }));
    }
  }

  // Guards against an entry that does not state that the process has stopped, or that still states
  // it after the next start.
  void StopIsWrittenToTheStore() {
    SidecarMesh mesh(2);
    PutLimits(&mesh, 2, 50);
    for (size_t i = 0; i < 2; ++i) mesh.SendHeartbeat(i);
    WaitUntilPermitted(&mesh, {0, 1});
    const auto is_stopped = [&mesh] {
      const json spec = mesh.store().Spec("sidecars", mesh.at(0).settings.node);
      return spec.is_object() && spec.contains("stopped") && spec["stopped"] == true;
    };
    CPPUNIT_ASSERT(!is_stopped());
    mesh.at(0).sidecar->Stop();
    CPPUNIT_ASSERT(mesh.Pump(is_stopped));
    const auto started = [&mesh] {
      return mesh.store().Spec("sidecars", mesh.at(0).settings.node)["started_ms"];
    };
    const json started_before = started();
    mesh.Kill(0);
    mesh.PumpFor(milliseconds(2));
    mesh.Start(0);
    CPPUNIT_ASSERT(mesh.Pump([&] { return !is_stopped(); }));
    CPPUNIT_ASSERT(started() != started_before);
  }

  // Guards against requests that wait for permits of a limit that is no longer in force.
  void LimitThatIsRemovedHoldsNoRequests() {
    SidecarMesh mesh(2);
    for (size_t i = 0; i < 2; ++i) mesh.SendHeartbeat(i);
    PutLimits(&mesh, 2, kRate);
    WaitUntilPermitted(&mesh, {0, 1});
    PutLimits(&mesh, 3, 0);
    CPPUNIT_ASSERT(mesh.Pump([&] {
      return mesh.Metrics(0).find("config_version 3\n") != std::string::npos &&
             mesh.Metrics(1).find("config_version 3\n") != std::string::npos;
    }));
    for (int i = 0; i < 100; ++i) {
      const std::string id = "id-" + std::to_string(i);
      CPPUNIT_ASSERT_EQUAL(200, StatusOf(Call(&mesh, static_cast<size_t>(i % 2), "key-l", id)));
    }
  }

  // Guards against fields that are lost between sidecars.
  void MessagesKeepTheirFields() {
    PermitGrant grant;
    grant.organisation = "o";
    grant.granted = 7;
    grant.valid_for = milliseconds(750);
    grant.retry_after = milliseconds(30);
    grant.cautious_for = milliseconds(1400);
    grant.takeover = true;
    grant.released = true;
    grant.share = 0.5;
    grant.not_owner = true;
    const PermitRequest request{"o", 3, true};
    EvbufferPtr buffer(evbuffer_new());
    AppendFrame(grant, buffer.get());
    AppendFrame(request, buffer.get());
    PeerMessage message;
    CPPUNIT_ASSERT(ExtractFrame(buffer.get(), &message) == FrameStatus::kMessage);
    CPPUNIT_ASSERT(std::get<PermitGrant>(message) == grant);
    CPPUNIT_ASSERT(ExtractFrame(buffer.get(), &message) == FrameStatus::kMessage);
    CPPUNIT_ASSERT(std::get<PermitRequest>(message) == request);
    PeerHello hello;
    hello.issued = {"o", "p"};
    AppendFrame(hello, buffer.get());
    CPPUNIT_ASSERT(ExtractFrame(buffer.get(), &message) == FrameStatus::kMessage);
    CPPUNIT_ASSERT(std::get<PeerHello>(message).issued == hello.issued);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PermitExchangeTest);

}  // namespace
}  // namespace camphorhoist
