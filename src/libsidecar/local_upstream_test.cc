#include "libsidecar/local_upstream.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "libsidecar/testing/sidecar_mesh.h"

namespace camphorhoist {
namespace {

using std::chrono::milliseconds;

UpstreamReport NewReport(const FakeUpstream& upstream) {
  UpstreamReport report;
  report.instance = "i";
  report.service = "s";
  report.address = upstream.address().ToString();
  report.slots = 1;
  report.sequence = 7;
  report.started_ms = 1000;
  return report;
}

CallOffer NewOffer(uint64_t number) {
  CallOffer offer;
  offer.id = CallId(1, number);
  offer.service = "s";
  offer.instance = "i";
  offer.request_id = "id-" + std::to_string(number);
  offer.headers = {{"X-Request-Id", offer.request_id}};
  offer.method = "POST";
  offer.target = "/unsafe/x";
  offer.time_left = std::chrono::seconds(5);
  offer.objective_left = std::chrono::seconds(5);
  offer.max_wait = std::chrono::seconds(5);
  return offer;
}

class DeparturesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DeparturesTest);
  CPPUNIT_TEST(RestoredDepartureEndsQueuedCallsAndIsReported);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against queued calls that reach a server whose departure is learned only after a late
  // report had activated it, and against senders that are not told.
  void RestoredDepartureEndsQueuedCallsAndIsReported() {
    const EventBasePtr base = NewPreciseEventBase();
    FakeUpstream upstream(base.get());
    upstream.set_responder([](RawServer::Connection*, const std::string&) {});
    SidecarSettings settings;
    settings.upstream = upstream.address();
    settings.announce_interval = milliseconds(1500);
    int reports = 0;
    LocalUpstream local(base.get(), settings, [&reports] { ++reports; });
    local.Apply(NewReport(upstream));
    std::vector<CallResult> results;
    for (uint64_t n = 0; n < 3; ++n) {
      local.Offer(NewOffer(n), 1, [&results](CallResult result) { results.push_back(result); });
    }
    CPPUNIT_ASSERT(PumpUntil(base.get(), [&] { return upstream.request_heads().size() == 1; }));
    CPPUNIT_ASSERT(results.empty());
    const int reports_before = reports;
    local.Restore({{"i", 1000}});
    CPPUNIT_ASSERT_EQUAL(size_t{2}, results.size());
    for (const CallResult& it : results) {
      CPPUNIT_ASSERT(it.kind == ResultKind::kNotRun && it.reason == ResultReason::kNoUpstream);
    }
    CPPUNIT_ASSERT_EQUAL(reports_before + 1, reports);
    CPPUNIT_ASSERT(!local.status().ready);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeparturesTest);

}  // namespace
}  // namespace camphorhoist
