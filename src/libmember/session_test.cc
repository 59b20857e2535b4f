#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

#include "libmember/mesh_fake.h"

namespace camphorhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class SessionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionTest);
  CPPUNIT_TEST(SessionMatchesGoldenFile);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against unintended protocol changes: compares every message of a small mesh during join,
  // change, drain, pause, crash and leave with a golden file. CAMPHORHOIST_WRITE_GOLDEN=1 rewrites
  // it.
  void SessionMatchesGoldenFile() {
    std::ostringstream log;
    MeshFake mesh(16);
    const MemberTime start = mesh.now();
    mesh.observer = [&](const MemberId& id, const MemberEffect& effect) {
      const auto ms = std::chrono::duration_cast<milliseconds>(mesh.now() - start).count();
      const std::string line = Describe(effect);
      if (!line.empty()) log << ms << ' ' << id.ToString() << ' ' << line << '\n';
    };
    mesh.AddMany(2, 3);
    mesh.Run(seconds(4));
    mesh.node(MeshFake::Id(0, 1)).self.version = ConfigVersion(1, 1);
    mesh.Update(MeshFake::Id(0, 1));
    mesh.node(MeshFake::Id(0, 2)).self.endpoints[0].state = EndpointState::kDraining;
    mesh.Update(MeshFake::Id(0, 2));
    mesh.Run(seconds(2));
    mesh.Pause(MeshFake::Id(0, 0));
    mesh.Run(seconds(4));
    mesh.Resume(MeshFake::Id(0, 0));
    mesh.Run(seconds(4));
    mesh.Crash(MeshFake::Id(1, 1));
    mesh.Run(seconds(9));
    mesh.Leave(MeshFake::Id(1, 2));
    mesh.Run(seconds(2));

    const std::string path = std::string(CAMPHORHOIST_SOURCE_DIR) + "/testdata/session.txt";
    if (std::getenv("CAMPHORHOIST_WRITE_GOLDEN") != nullptr) std::ofstream(path) << log.str();
    std::ifstream file(path);
    std::ostringstream golden;
    golden << file.rdbuf();
    CPPUNIT_ASSERT(golden.str().size() > 10000);
    CPPUNIT_ASSERT_EQUAL(golden.str(), log.str());
  }

 private:
  static std::string Describe(const MemberUpdate& update) {
    std::string text = std::string(" [") + update.entry.address.ToString() + ' ' +
                       ToString(update.state) + ' ' + std::to_string(update.entry.incarnation) +
                       '.' + std::to_string(update.entry.sequence);
    for (const EndpointInfo& it : update.entry.endpoints) {
      text += ' ' + it.service + '=' + ToString(it.state);
    }
    return text + ']';
  }

  static std::string Describe(const MemberEffect& effect) {
    if (const auto* it = std::get_if<SendMessage>(&effect)) {
      const MemberMessage& message = it->message;
      std::string text = std::string(ToString(message.kind)) + " to " + it->to.ToString() +
                         " version " + message.version.ToString() + " probe " +
                         std::to_string(message.probe);
      for (const MemberUpdate& update : message.updates) text += Describe(update);
      for (const VersionSet& set : message.version_sets) {
        text += " {" + set.data_centre + ' ' + set.version.ToString() + ' ' +
                std::to_string(static_cast<int>(set.bits.empty() ? 0 : set.bits[0])) + '}';
      }
      return text;
    }
    if (const auto* it = std::get_if<MemberChanged>(&effect)) {
      return "member" + Describe(MemberUpdate{it->state, true, it->entry}) + ' ' +
             it->entry.version.ToString();
    }
    if (const auto* it = std::get_if<DataCentreChanged>(&effect)) {
      return it->data_centre + (it->reachable ? " reachable" : " unreachable");
    }
    return {};
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionTest);

}  // namespace
}  // namespace camphorhoist
