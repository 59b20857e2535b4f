#include "camphorhoist/request_pipeline.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iterator>
#include <map>
#include <random>
#include <vector>

namespace camphorhoist {
namespace {

using Delay = RequestPipeline::Delay;
using Connection = RequestPipeline::Connection;

constexpr bool kIdempotent = true;
constexpr bool kNonIdempotent = false;
constexpr bool kStays = false;
constexpr bool kCloses = true;

const Connection kOpen;
const Connection kStopping{false, 0};

// Sends the next response; its id is 0 if there is none.
RequestPipeline::Response SendNext(RequestPipeline* pipeline, bool keep_alive = true) {
  const auto response = pipeline->NextResponse(keep_alive);
  if (!response) return {};
  pipeline->OnSent();
  return *response;
}

class RequestPipelineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestPipelineTest);
  CPPUNIT_TEST(ResponsesAreSentInRequestOrder);
  CPPUNIT_TEST(NonIdempotentRequestRunsAlone);
  CPPUNIT_TEST(ConcurrencyIsLimitedToRunningRequests);
  CPPUNIT_TEST(BufferedBytesDelayRequests);
  CPPUNIT_TEST(UnsentBytesDelayRequests);
  CPPUNIT_TEST(NothingStartsBehindAClosingRequest);
  CPPUNIT_TEST(LastResponseOfAStoppingConnectionCloses);
  CPPUNIT_TEST(RejectionIsSentLast);
  CPPUNIT_TEST(NothingIsRejectedBehindAClosingResponse);
  CPPUNIT_TEST(HoldsForRandomSequences);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against reordered responses and against a response that begins while another one is
  // being sent in parts.
  void ResponsesAreSentInRequestOrder() {
    RequestPipeline pipeline;
    const auto first = pipeline.Start(kIdempotent, kStays);
    CPPUNIT_ASSERT(pipeline.DelayOf(kIdempotent, kOpen) == Delay::kNone);
    const auto second = pipeline.Start(kIdempotent, kStays);
    pipeline.OnResponse(second, 10);
    CPPUNIT_ASSERT(!pipeline.NextResponse(true));
    pipeline.OnResponse(first, 10);
    const auto response = pipeline.NextResponse(true);
    CPPUNIT_ASSERT(response && response->id == first && !response->closes);
    CPPUNIT_ASSERT(!pipeline.NextResponse(true));
    pipeline.OnSent();
    CPPUNIT_ASSERT_EQUAL(second, SendNext(&pipeline).id);
    CPPUNIT_ASSERT(pipeline.empty());
  }

  // Guards against a non-idempotent request that runs beside others, also while the response before
  // it is being sent.
  void NonIdempotentRequestRunsAlone() {
    RequestPipeline pipeline;
    const auto first = pipeline.Start(kIdempotent, kStays);
    CPPUNIT_ASSERT(pipeline.DelayOf(kNonIdempotent, kOpen) == Delay::kOrder);
    pipeline.OnResponse(first, 10);
    CPPUNIT_ASSERT(pipeline.NextResponse(true));
    CPPUNIT_ASSERT(pipeline.DelayOf(kNonIdempotent, kOpen) == Delay::kOrder);
    pipeline.OnSent();
    CPPUNIT_ASSERT(pipeline.DelayOf(kNonIdempotent, kOpen) == Delay::kNone);
    pipeline.Start(kNonIdempotent, kStays);
    CPPUNIT_ASSERT(pipeline.DelayOf(kIdempotent, kOpen) == Delay::kOrder);
    CPPUNIT_ASSERT(pipeline.ReadDelay(kOpen) == Delay::kOrder);
  }

  // Guards against any number of running requests, and against completed ones that count as
  // running.
  void ConcurrencyIsLimitedToRunningRequests() {
    RequestPipeline pipeline;
    std::vector<RequestPipeline::RequestId> ids;
    for (size_t i = 0; i < RequestPipeline::kMaxConcurrentRequests; ++i) {
      CPPUNIT_ASSERT(pipeline.DelayOf(kIdempotent, kOpen) == Delay::kNone);
      ids.push_back(pipeline.Start(kIdempotent, kStays));
    }
    CPPUNIT_ASSERT(pipeline.DelayOf(kIdempotent, kOpen) == Delay::kConcurrency);
    pipeline.OnResponse(ids[5], 10);
    CPPUNIT_ASSERT(pipeline.DelayOf(kIdempotent, kOpen) == Delay::kNone);
  }

  // Guards against a slow first response that makes a connection buffer any amount of bytes, or any
  // number of empty responses.
  void BufferedBytesDelayRequests() {
    for (const size_t bytes : {size_t{0}, size_t{300000}, size_t{3} << 20}) {
      RequestPipeline pipeline;
      const auto first = pipeline.Start(kIdempotent, kStays);
      size_t buffered = 0;
      while (pipeline.DelayOf(kIdempotent, kOpen) == Delay::kNone) {
        CPPUNIT_ASSERT(buffered <= RequestPipeline::kMaxBufferedResponseBytes);
        pipeline.OnResponse(pipeline.Start(kIdempotent, kStays), bytes);
        buffered += bytes + RequestPipeline::kResponseOverheadBytes;
        CPPUNIT_ASSERT_EQUAL(buffered, pipeline.buffered_bytes());
      }
      CPPUNIT_ASSERT(pipeline.DelayOf(kIdempotent, kOpen) == Delay::kBufferedResponses);
      pipeline.OnResponse(first, 10);
      while (SendNext(&pipeline).id != 0) {
      }
      CPPUNIT_ASSERT_EQUAL(size_t{0}, pipeline.buffered_bytes());
      CPPUNIT_ASSERT(pipeline.DelayOf(kNonIdempotent, kOpen) == Delay::kNone);
    }
  }

  // Guards against a caller that does not read its responses and makes the connection buffer them.
  void UnsentBytesDelayRequests() {
    RequestPipeline pipeline;
    const Connection full{true, RequestPipeline::kMaxBufferedResponseBytes + 1};
    const Connection half{true, RequestPipeline::kMaxBufferedResponseBytes / 2};
    CPPUNIT_ASSERT(pipeline.ReadDelay(full) == Delay::kBufferedResponses);
    CPPUNIT_ASSERT(pipeline.DelayOf(kNonIdempotent, full) == Delay::kBufferedResponses);
    CPPUNIT_ASSERT(pipeline.ReadDelay(half) == Delay::kNone);
    pipeline.Start(kIdempotent, kStays);
    pipeline.OnResponse(pipeline.Start(kIdempotent, kStays),
                        RequestPipeline::kMaxBufferedResponseBytes / 2 + 1);
    CPPUNIT_ASSERT(pipeline.ReadDelay(half) == Delay::kBufferedResponses);
    CPPUNIT_ASSERT(pipeline.ReadDelay(kOpen) == Delay::kNone);
  }

  // Guards against requests that run although the connection closes before their response.
  void NothingStartsBehindAClosingRequest() {
    RequestPipeline pipeline;
    const auto first = pipeline.Start(kIdempotent, kStays);
    const auto second = pipeline.Start(kIdempotent, kCloses);
    CPPUNIT_ASSERT(pipeline.DelayOf(kIdempotent, kOpen) == Delay::kClosing);
    pipeline.OnResponse(second, 10);
    pipeline.OnResponse(first, 10);
    CPPUNIT_ASSERT(!SendNext(&pipeline).closes);
    CPPUNIT_ASSERT(SendNext(&pipeline).closes);
    CPPUNIT_ASSERT(pipeline.empty());
    CPPUNIT_ASSERT(pipeline.DelayOf(kIdempotent, kOpen) == Delay::kClosing);
  }

  // Guards against a stop that closes the connection before all started requests are answered, and
  // against an idle connection that no longer serves its next request during a stop.
  void LastResponseOfAStoppingConnectionCloses() {
    RequestPipeline pipeline;
    const auto first = pipeline.Start(kIdempotent, kStays);
    const auto second = pipeline.Start(kIdempotent, kStays);
    CPPUNIT_ASSERT(pipeline.DelayOf(kIdempotent, kStopping) == Delay::kClosing);
    pipeline.OnResponse(first, 10);
    CPPUNIT_ASSERT(!SendNext(&pipeline, false).closes);
    pipeline.OnResponse(second, 10);
    CPPUNIT_ASSERT(SendNext(&pipeline, false).closes);
    CPPUNIT_ASSERT(pipeline.DelayOf(kIdempotent, kStopping) == Delay::kClosing);

    RequestPipeline idle;
    CPPUNIT_ASSERT(idle.DelayOf(kNonIdempotent, kStopping) == Delay::kNone);
    idle.OnResponse(idle.Start(kNonIdempotent, kStays), 10);
    CPPUNIT_ASSERT(SendNext(&idle, false).closes);
  }

  // Guards against a malformed request that is answered before the valid ones that precede it.
  void RejectionIsSentLast() {
    RequestPipeline pipeline;
    const auto first = pipeline.Start(kNonIdempotent, kStays);
    const auto rejected = pipeline.Reject();
    CPPUNIT_ASSERT(rejected);
    pipeline.OnResponse(*rejected, 0);
    CPPUNIT_ASSERT(!pipeline.NextResponse(true));
    CPPUNIT_ASSERT(pipeline.ReadDelay(kOpen) == Delay::kClosing);
    pipeline.OnResponse(first, 10);
    CPPUNIT_ASSERT(!SendNext(&pipeline).closes);
    const auto last = SendNext(&pipeline);
    CPPUNIT_ASSERT(last.id == *rejected && last.closes);
  }

  // Guards against a second response behind the one that closes the connection, if the request that
  // is being read turns out to be malformed while that response is being sent in parts.
  void NothingIsRejectedBehindAClosingResponse() {
    RequestPipeline pipeline;
    pipeline.OnResponse(pipeline.Start(kIdempotent, kStays), 10);
    const auto response = pipeline.NextResponse(false);
    CPPUNIT_ASSERT(response && response->closes);
    CPPUNIT_ASSERT(!pipeline.Reject());
    pipeline.OnSent();
    CPPUNIT_ASSERT(!pipeline.NextResponse(false));
  }

  // Guards against combinations of events that break order, exclusiveness or the bounds.
  void HoldsForRandomSequences() {
    for (unsigned seed = 1; seed <= 50; ++seed) {
      std::mt19937 rng(seed);
      RequestPipeline pipeline;
      std::map<RequestPipeline::RequestId, bool> running;
      RequestPipeline::RequestId last_sent = 0;
      bool closed = false;
      for (int step = 0; step < 2000; ++step) {
        const bool keep_alive = step < 1900;
        const bool idempotent = rng() % 4 != 0;
        const Delay delay = pipeline.DelayOf(idempotent, {keep_alive, 0});
        if (rng() % 2 == 0 && delay == Delay::kNone) {
          CPPUNIT_ASSERT(!closed);
          CPPUNIT_ASSERT(running.size() < RequestPipeline::kMaxConcurrentRequests);
          CPPUNIT_ASSERT(pipeline.buffered_bytes() <= RequestPipeline::kMaxBufferedResponseBytes);
          for (const auto& it : running) CPPUNIT_ASSERT(idempotent && it.second);
          CPPUNIT_ASSERT(idempotent || pipeline.empty());
          running[pipeline.Start(idempotent, kStays)] = idempotent;
        } else if (!running.empty()) {
          const auto it = std::next(running.begin(), static_cast<int>(rng() % running.size()));
          pipeline.OnResponse(it->first, rng() % 400000);
          running.erase(it);
        }
        while (const auto response = pipeline.NextResponse(keep_alive)) {
          CPPUNIT_ASSERT_EQUAL(last_sent + 1, response->id);
          last_sent = response->id;
          CPPUNIT_ASSERT(!closed);
          closed = response->closes;
          pipeline.OnSent();
        }
        if (closed) CPPUNIT_ASSERT(running.empty());
      }
      CPPUNIT_ASSERT(closed);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestPipelineTest);

}  // namespace
}  // namespace camphorhoist
