#include "camphorhoist/membership.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <set>
#include <string>
#include <vector>

#include "libmember/mesh_fake.h"

namespace camphorhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Number of running members whose table still offers an endpoint of `gone`. `departed` has left
/// the mesh itself and follows it no longer.
size_t Offering(MeshFake* mesh, const MemberId& gone, const MemberId& departed = {}) {
  size_t n = 0;
  for (auto& [id, node] : mesh->nodes()) {
    if (id == gone || id == departed || !mesh->Running(id)) continue;
    for (const std::string& service : node.table->Services()) {
      for (const EndpointRef& it : *node.table->Find(service)) n += it.node == gone ? 1 : 0;
    }
  }
  return n;
}

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(MembersFindEachOther);
  CPPUNIT_TEST(CrashIsDetected);
  CPPUNIT_TEST(LeavingEndpointIsOutWithinThreeSeconds);
  CPPUNIT_TEST(PausedMemberAccusesNobody);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a join that leaves members unknown, within and across data centres.
  void MembersFindEachOther() {
    for (double loss : {0.0, 0.2}) {
      MeshFake mesh(1);
      mesh.loss = loss;
      mesh.AddMany(3, 16);
      CPPUNIT_ASSERT(mesh.RunUntil([&] { return mesh.AllSee(48); }, seconds(60)));
      for (auto& [id, node] : mesh.nodes()) {
        CPPUNIT_ASSERT(node.membership->joined());
        CPPUNIT_ASSERT_EQUAL(size_t{12}, node.table->Find("svc0")->size());
      }
    }
  }

  // Guards against a dead member that stays in the tables.
  void CrashIsDetected() {
    MeshFake mesh(2);
    mesh.AddMany(1, 32);
    CPPUNIT_ASSERT(mesh.RunUntil([&] { return mesh.AllSee(32); }, seconds(60)));
    mesh.Crash(MeshFake::Id(0, 7));
    CPPUNIT_ASSERT(mesh.RunUntil([&] { return mesh.AllSee(31); }, seconds(20)));
    CPPUNIT_ASSERT_EQUAL(size_t{0}, Offering(&mesh, MeshFake::Id(0, 7)));
  }

  // Guards against new work for an upstream that drains (P7).
  void LeavingEndpointIsOutWithinThreeSeconds() {
    for (double loss : {0.0, 0.2}) {
      MeshFake mesh(3);
      mesh.loss = loss;
      mesh.AddMany(3, 24);
      CPPUNIT_ASSERT(mesh.RunUntil([&] { return mesh.AllSee(72); }, seconds(60)));
      const MemberId drained = MeshFake::Id(0, 5);
      const MemberId left = MeshFake::Id(1, 6);
      mesh.node(drained).self.endpoints[0].state = EndpointState::kDraining;
      mesh.Update(drained);
      mesh.Leave(left);
      mesh.Run(seconds(3));
      CPPUNIT_ASSERT_EQUAL(size_t{0}, Offering(&mesh, drained, left));
      CPPUNIT_ASSERT_EQUAL(size_t{0}, Offering(&mesh, left));
    }
  }

  // Guards against a paused member that takes the others for dead on its return.
  void PausedMemberAccusesNobody() {
    MeshFake mesh(4);
    mesh.AddMany(1, 24);
    CPPUNIT_ASSERT(mesh.RunUntil([&] { return mesh.AllSee(24); }, seconds(60)));
    const MemberId paused = MeshFake::Id(0, 9);
    mesh.Pause(paused);
    CPPUNIT_ASSERT(mesh.RunUntil([&] { return mesh.AllSee(23); }, seconds(30)));
    mesh.Resume(paused);
    CPPUNIT_ASSERT(mesh.RunUntil([&] { return mesh.AllSee(24); }, seconds(10)));
    mesh.Run(seconds(20));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, mesh.node(paused).membership->counters().suspicions_raised);
    CPPUNIT_ASSERT(mesh.AllSee(24));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

}  // namespace
}  // namespace camphorhoist
