#include "camphorhoistd/incarnation_range.h"

#include <cppunit/extensions/HelperMacros.h>

namespace camphorhoist {
namespace {

class IncarnationRangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(IncarnationRangeTest);
  CPPUNIT_TEST(RefutationExtendsRange);
  CPPUNIT_TEST(ExcludesEarlierRun);
  CPPUNIT_TEST(LargerStepResetsRange);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a node that, after it has refuted a suspicion (for example after a pause),
  // refuses all calls as meant for another run.
  void RefutationExtendsRange() {
    IncarnationRange range(100);
    range.Update(101);
    range.Update(102);
    for (const uint64_t it : {100, 101, 102}) CPPUNIT_ASSERT(range.Contains(it));
    CPPUNIT_ASSERT(!range.Contains(103));
  }

  // Guards P5 and P6: a run must not accept or resolve calls that were meant for an earlier run.
  void ExcludesEarlierRun() {
    const uint64_t earlier =
        IncarnationRange::FirstIncarnation(1000) + 500;  // after 500 refutations
    const IncarnationRange range(IncarnationRange::FirstIncarnation(1001));
    CPPUNIT_ASSERT(!range.Contains(earlier));
  }

  // Guards P5 and P6 if the clock was set back between the runs, so that the membership raises the
  // incarnation above that of the earlier run.
  void LargerStepResetsRange() {
    IncarnationRange range(IncarnationRange::FirstIncarnation(1000));
    const uint64_t earlier = IncarnationRange::FirstIncarnation(2000) + 3;
    range.Update(earlier + 1);
    CPPUNIT_ASSERT(range.Contains(earlier + 1));
    CPPUNIT_ASSERT(!range.Contains(earlier));
    CPPUNIT_ASSERT(!range.Contains(IncarnationRange::FirstIncarnation(1000)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IncarnationRangeTest);

}  // namespace
}  // namespace camphorhoist
