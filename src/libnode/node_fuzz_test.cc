#include <arpa/inet.h>
#include <capnp/rpc-twoparty.h>
#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "libnode/node_messages.h"
#include "libnode/node_server.h"
#include "libnode/peer_pool.h"
#include "libnode/testing/node_fakes.h"

namespace camphorhoist {
namespace {

constexpr uint64_t kSeed = 20240611;
/// Streams per run. The test has to finish within 10 s with sanitizers.
constexpr int kStreams = 1000;
/// Number of connections that are open at the same time.
constexpr int kBatchSize = 20;
constexpr size_t kMaxRandomBytes = 512;

using Random = std::mt19937_64;

size_t RandomBelow(Random* rng, size_t bound) {
  return std::uniform_int_distribution<size_t>(0, bound - 1)(*rng);
}

std::string RandomBytes(Random* rng, size_t size) {
  std::string bytes(size, '\0');
  for (char& it : bytes) it = static_cast<char>(RandomBelow(rng, 256));
  return bytes;
}

// Mutations. Precondition: the stream is not empty.
std::string FlipBits(Random* rng, const std::string& input) {
  std::string stream = input;
  for (size_t n = 1 + RandomBelow(rng, 8); n > 0; --n) {
    char& byte = stream[RandomBelow(rng, stream.size())];
    byte = static_cast<char>(static_cast<unsigned char>(byte) ^ (1U << RandomBelow(rng, 8)));
  }
  return stream;
}

// Overwrites 4-byte words, which hold the lengths, offsets and counts of the encoding.
std::string OverwriteWords(Random* rng, const std::string& input) {
  std::string stream = input;
  static constexpr std::array<uint32_t, 6> kValues = {0,          1,          0x7fffffff,
                                                      0x80000000, 0xfffffffc, 0xffffffff};
  for (size_t n = 1 + RandomBelow(rng, 3); n > 0; --n) {
    const uint32_t value = kValues[RandomBelow(rng, kValues.size())];
    const size_t at = 4 * RandomBelow(rng, stream.size() / 4);
    for (size_t i = 0; i < 4; ++i) stream[at + i] = static_cast<char>(value >> (8 * i));
  }
  return stream;
}

std::string Truncate(Random* rng, const std::string& input) {
  std::string stream = input;
  stream.resize(1 + RandomBelow(rng, stream.size()));
  return stream;
}

std::string Insert(Random* rng, const std::string& input) {
  std::string stream = input;
  stream.insert(RandomBelow(rng, stream.size()), RandomBytes(rng, 1 + RandomBelow(rng, 64)));
  return stream;
}

std::string Erase(Random* rng, const std::string& input) {
  std::string stream = input;
  stream.erase(8 * RandomBelow(rng, stream.size() / 8), 8 * (1 + RandomBelow(rng, 8)));
  return stream;
}

std::string Repeat(Random* rng, const std::string& stream) {
  const size_t at = 8 * RandomBelow(rng, stream.size() / 8);
  return stream + stream.substr(at);
}

std::string Replace(Random* rng, const std::string& /*stream*/) {
  return RandomBytes(rng, 1 + RandomBelow(rng, kMaxRandomBytes));
}

using Mutation = std::string (*)(Random* rng, const std::string& stream);
constexpr std::array<Mutation, 7> kMutations = {&FlipBits, &OverwriteWords, &Truncate, &Insert,
                                                &Erase,    &Repeat,         &Replace};

class NodeFuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeFuzzTest);
  CPPUNIT_TEST(RecordedStreamIsValid);
  CPPUNIT_TEST(ServerSurvivesMutatedStreams);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    loop_ = std::make_unique<EventLoop>();
    service_ = FakeService();
    server_ = std::make_unique<NodeServer>(loop_.get(), Identity("mesh"), &service_);
    CPPUNIT_ASSERT(!server_->Listen(NetAddress("127.0.0.1", 0)));
    pool_ = std::make_unique<PeerPool>(loop_.get(), Identity("mesh"));
    stream_ = RecordStream();
  }
  void tearDown() override {
    pool_.reset();
    server_.reset();
    loop_.reset();
  }

  // Guards against a fuzz test whose streams are all rejected by the first check.
  void RecordedStreamIsValid() {
    const int fd = SendStream(stream_);
    Wait([&] { return service_.requests.size() == 1; });
    CPPUNIT_ASSERT_EQUAL(std::string("/echo"), service_.requests[0].target);
    close(fd);
    Wait([&] { return server_->connections() == 0; });
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, server_->rejected());
  }

  // Guards against frames that crash the process, leave their connection open or affect other
  // connections.
  void ServerSurvivesMutatedStreams() {
    FakeHandler held;
    pool_->Call(server_->bound_address(), false, Request("/hold"), &held);
    Wait([&] { return !service_.writers.empty(); });
    const auto writer = service_.writers[0];
    Random rng(kSeed);
    for (int sent = 0; sent < kStreams; sent += kBatchSize) {
      SendBatch(&rng);
      FakeHandler echo;
      pool_->Call(server_->bound_address(), false, Request("/echo"), &echo);
      Wait([&] { return echo.done == 1; });
      CPPUNIT_ASSERT(echo.status == PeerCallStatus::kResult);
      CPPUNIT_ASSERT_EQUAL(std::string("echo body"), echo.result.body);
      service_.requests.clear();
      service_.writers.clear();
    }
    CPPUNIT_ASSERT_EQUAL(0, held.done);
    FakeService::Finish(writer.get(), NodeOutcome::kNotRun, "test");
    Wait([&] { return held.done == 1; });
    CPPUNIT_ASSERT(held.status == PeerCallStatus::kResult);
    // Otherwise the mutations would have left the hello intact in every stream.
    CPPUNIT_ASSERT(server_->rejected() > 0);
  }

 private:
  void Wait(const std::function<bool()>& condition) { WaitUntil(loop_.get(), condition); }

  /// Returns the bytes of a client that calls every method without waiting for results.
  std::string RecordStream() {
    std::array<int, 2> fds{};
    CPPUNIT_ASSERT_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds.data()));
    std::string recorded;
    {
      SocketStream stream(loop_.get(), fds[0]);
      capnp::TwoPartyClient client(stream);
      auto node = client.bootstrap().castAs<rpc::Node>();
      auto hello = node.helloRequest();
      hello.setMesh("mesh");
      hello.setAddress("127.0.0.1:1");
      const auto hello_sent = hello.send();
      const auto ping_sent = node.pingRequest().send();
      auto call = node.callRequest();
      WriteCallRequest(Request("/echo"), call.initRequest());
      const auto call_sent = call.send();
      const auto resolve_sent = node.resolveCallRequest().send();
      const auto pull_sent = node.pullConfigRequest().send();
      const auto floor_sent = node.floorRequest().send();
      size_t before = 0;
      // The recording is complete once a read returns nothing after data was received.
      Wait([&] {
        before = recorded.size();
        std::array<char, 4096> buf{};
        const ssize_t n = recv(fds[1], buf.data(), buf.size(), 0);
        if (n > 0) recorded.append(buf.data(), static_cast<size_t>(n));
        return n <= 0 && before > 0;
      });
    }
    close(fds[1]);
    return recorded;
  }

  /// Opens a connection and sends `stream` on it.
  int SendStream(const std::string& stream) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in name = ToSockaddr(server_->bound_address());
    CPPUNIT_ASSERT_EQUAL(0, connect(fd, reinterpret_cast<const sockaddr*>(&name), sizeof(name)));
    CPPUNIT_ASSERT(send(fd, stream.data(), stream.size(), MSG_NOSIGNAL) > 0);
    return fd;
  }

  void SendBatch(Random* rng) {
    std::vector<int> open;
    for (int i = 0; i < kBatchSize; ++i) {
      open.push_back(SendStream(kMutations[RandomBelow(rng, kMutations.size())](rng, stream_)));
      shutdown(open.back(), SHUT_WR);
    }
    Wait([&] { return std::all_of(open.begin(), open.end(), ClosedByPeer); });
    for (const int fd : open) close(fd);
    // Only the connection of the pool remains.
    Wait([&] { return server_->connections() == 1; });
  }

  std::unique_ptr<EventLoop> loop_;
  FakeService service_;
  std::unique_ptr<NodeServer> server_;
  std::unique_ptr<PeerPool> pool_;
  std::string stream_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeFuzzTest);

}  // namespace
}  // namespace camphorhoist
