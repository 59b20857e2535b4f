#include "camphorhoistd/incarnation_range.h"

#include <cppunit/extensions/HelperMacros.h>

namespace camphorhoist {
namespace {

class IncarnationRangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(IncarnationRangeTest);
  CPPUNIT_TEST(RefutationKeepsTheRun);
  CPPUNIT_TEST(EarlierRunIsOutside);
  CPPUNIT_TEST(RaiseAboveAnEarlierRunStartsAnew);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a node that refuses all calls as meant for another run once it has refuted a
  // suspicion, for example after a pause.
  void RefutationKeepsTheRun() {
    IncarnationRange range(100);
    range.Update(101);
    range.Update(102);
    for (const uint64_t it : {100, 101, 102}) CPPUNIT_ASSERT(range.Contains(it));
    CPPUNIT_ASSERT(!range.Contains(103));
  }

  // Guards P5 and P6: a run must not answer for the calls of an earlier one.
  void EarlierRunIsOutside() {
    const uint64_t earlier = IncarnationRange::FirstOf(1000) + 500;  // after 500 refutations
    const IncarnationRange range(IncarnationRange::FirstOf(1001));
    CPPUNIT_ASSERT(!range.Contains(earlier));
  }

  // Guards the same when the clock went back between the runs.
  void RaiseAboveAnEarlierRunStartsAnew() {
    IncarnationRange range(IncarnationRange::FirstOf(1000));
    const uint64_t earlier = IncarnationRange::FirstOf(2000) + 3;
    range.Update(earlier + 1);
    CPPUNIT_ASSERT(range.Contains(earlier + 1));
    CPPUNIT_ASSERT(!range.Contains(earlier));
    CPPUNIT_ASSERT(!range.Contains(IncarnationRange::FirstOf(1000)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IncarnationRangeTest);

}  // namespace
}  // namespace camphorhoist
