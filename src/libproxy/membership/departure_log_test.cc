#include "camphorhoist/departure_log.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace camphorhoist {
namespace {

class DepartureLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DepartureLogTest);
  CPPUNIT_TEST(TellsIncarnationsApart);
  CPPUNIT_TEST(KeepsTheNewestDepartures);
  CPPUNIT_TEST(KeepsTheLastDepartureWhateverItsStart);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a departed server that is used again, and against a restarted server with the
  // same id, or one on another VM, that is not used.
  void TellsIncarnationsApart() {
    DepartureLog log;
    log.Record("a", {"i", 5});
    log.Record("a", {"i", 5});
    log.Record("a", {"j", std::nullopt});
    CPPUNIT_ASSERT(log.HasDeparted("a", {"i", 5}));
    CPPUNIT_ASSERT(!log.HasDeparted("a", {"i", 6}));
    CPPUNIT_ASSERT(!log.HasDeparted("a", {"i", std::nullopt}));
    CPPUNIT_ASSERT(!log.HasDeparted("a", {"j", std::nullopt}));
    CPPUNIT_ASSERT(!log.HasDeparted("b", {"i", 5}));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, log.departures("a").size());
    CPPUNIT_ASSERT(log.departures("b").empty());
  }

  // Guards against a log that grows without bound, or drops the departures that are still needed.
  void KeepsTheNewestDepartures() {
    DepartureLog log;
    log.Record("other", {"i", 1});
    constexpr auto kMax = static_cast<int64_t>(UpstreamRegistry::kMaxDepartures);
    for (int64_t started = 0; started <= kMax; ++started) log.Record("a", {"i", started});
    CPPUNIT_ASSERT_EQUAL(UpstreamRegistry::kMaxDepartures, log.departures("a").size());
    CPPUNIT_ASSERT(!log.HasDeparted("a", {"i", 0}));
    CPPUNIT_ASSERT(log.HasDeparted("a", {"i", kMax}));
    for (size_t n = 0; n < DepartureLog::kMaxNodes; ++n) {
      log.Record("node-" + std::to_string(n), {"i", 1});
      log.Record("a", {"j", static_cast<int64_t>(n)});
    }
    CPPUNIT_ASSERT(!log.HasDeparted("other", {"i", 1}));
    CPPUNIT_ASSERT(!log.HasDeparted("node-0", {"i", 1}));
    CPPUNIT_ASSERT(log.HasDeparted("node-1", {"i", 1}));
    CPPUNIT_ASSERT(log.HasDeparted("a", {"j", DepartureLog::kMaxNodes - 1}));
  }

  // Guards against a server that gets calls after its departure because its clock was set back, so
  // that all other departures of its VM have later starts.
  void KeepsTheLastDepartureWhateverItsStart() {
    DepartureLog log;
    constexpr auto kMax = static_cast<int64_t>(UpstreamRegistry::kMaxDepartures);
    for (int64_t started = 1; started <= kMax; ++started) log.Record("a", {"i", 1000 + started});
    log.Record("a", {"j", 5});
    CPPUNIT_ASSERT(log.HasDeparted("a", {"j", 5}));
    CPPUNIT_ASSERT_EQUAL(UpstreamRegistry::kMaxDepartures, log.departures("a").size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DepartureLogTest);

}  // namespace
}  // namespace camphorhoist
