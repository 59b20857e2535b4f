// Compares the latency and CPU time of Cap'n Proto RPC on the KJ event loop over libevent with the
// same payload in length-prefixed frames on a bufferevent, with one outstanding call at a time.
// Both ends run in one process on one event loop, so CPU figures include sender and receiver.
//
// Usage: rpc_loop_bench rpc|frame CALLS PAYLOAD_BYTES

#include <arpa/inet.h>
#include <capnp/rpc-twoparty.h>
#include <capnp/serialize.h>
#include <event2/listener.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

#include "libnode/event_loop.h"
#include "libnode/node.capnp.h"

namespace camphorhoist {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kWarmUpCalls = 200;

class EchoServer final : public rpc::Node::Server {
  kj::Promise<void> ping(PingContext context) override {
    context.getResults().setPayload(context.getParams().getPayload());
    return kj::READY_NOW;
  }
};

double ProcessCpuMicros() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return 1e6 * static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

void PrintReport(const char* name, std::vector<double> latencies, double cpu_micros) {
  const size_t n = latencies.size();
  std::sort(latencies.begin(), latencies.end());
  std::printf("%s calls=%zu p50_us=%.1f p99_us=%.1f cpu_us_per_call=%.1f\n", name, n,
              latencies[n / 2], latencies[n * 99 / 100], cpu_micros / static_cast<double>(n));
}

double MicrosSince(Clock::time_point start) {
  return std::chrono::duration<double, std::micro>(Clock::now() - start).count();
}

void RunRpc(int calls, size_t payload) {
  EventLoop loop;
  std::error_code ec;
  const int listener = ListenSocket(NetAddress("127.0.0.1", 0), &ec);
  auto client = ConnectSocket(&loop, BoundAddress(listener)).wait(loop.wait_scope());
  const int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  SocketStream server(&loop, fd);
  capnp::TwoPartyVatNetwork server_network(server, capnp::rpc::twoparty::Side::SERVER);
  auto server_rpc = capnp::makeRpcServer(server_network, kj::heap<EchoServer>());
  capnp::TwoPartyClient rpc_client(*client);
  auto node = rpc_client.bootstrap().castAs<rpc::Node>();

  const std::string data(payload, 'x');
  std::vector<double> latencies;
  double cpu_start_micros = 0;
  for (int i = -kWarmUpCalls; i < calls; ++i) {
    if (i == 0) cpu_start_micros = ProcessCpuMicros();
    const auto start = Clock::now();
    auto request = node.pingRequest();
    request.setPayload(kj::arrayPtr(reinterpret_cast<const kj::byte*>(data.data()), data.size()));
    request.send().wait(loop.wait_scope());
    if (i >= 0) latencies.push_back(MicrosSince(start));
  }
  PrintReport("rpc", std::move(latencies), ProcessCpuMicros() - cpu_start_micros);
  close(listener);
}

struct FrameClient {
  event_base* base = nullptr;
  std::string payload;
  int remaining = 0;
  int warm_up_remaining = kWarmUpCalls;
  double cpu_start_micros = 0;
  Clock::time_point start;
  std::vector<double> latencies;
};

void SendFrame(bufferevent* bev, const std::string& payload) {
  capnp::MallocMessageBuilder message;
  message.initRoot<rpc::Node::PingParams>().setPayload(
      kj::arrayPtr(reinterpret_cast<const kj::byte*>(payload.data()), payload.size()));
  const auto words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  const uint32_t size = htonl(static_cast<uint32_t>(bytes.size()));
  bufferevent_write(bev, &size, sizeof(size));
  bufferevent_write(bev, bytes.begin(), bytes.size());
}

bool ReadFrame(bufferevent* bev, std::string* payload) {
  evbuffer* in = bufferevent_get_input(bev);
  uint32_t size = 0;
  if (evbuffer_copyout(in, &size, sizeof(size)) != sizeof(size)) return false;
  size = ntohl(size);
  if (evbuffer_get_length(in) < sizeof(size) + size) return false;
  evbuffer_drain(in, sizeof(size));
  auto words = kj::heapArray<capnp::word>(size / sizeof(capnp::word));
  evbuffer_remove(in, words.begin(), size);
  capnp::FlatArrayMessageReader reader(words);
  const auto data = reader.getRoot<rpc::Node::PingParams>().getPayload();
  payload->assign(reinterpret_cast<const char*>(data.begin()), data.size());
  return true;
}

void OnServerRead(bufferevent* bev, void*) {
  std::string payload;
  while (ReadFrame(bev, &payload)) SendFrame(bev, payload);
}

void OnClientRead(bufferevent* bev, void* arg) {
  auto* client = static_cast<FrameClient*>(arg);
  std::string payload;
  if (!ReadFrame(bev, &payload)) return;
  if (client->warm_up_remaining > 0) {
    if (--client->warm_up_remaining == 0) client->cpu_start_micros = ProcessCpuMicros();
  } else {
    client->latencies.push_back(MicrosSince(client->start));
    if (--client->remaining == 0) {
      event_base_loopbreak(client->base);
      return;
    }
  }
  client->start = Clock::now();
  SendFrame(bev, client->payload);
}

void RunFrame(int calls, size_t payload) {
  EventBasePtr base(event_base_new());
  std::error_code ec;
  const int listener = ListenSocket(NetAddress("127.0.0.1", 0), &ec);
  sockaddr_in name{};
  socklen_t size = sizeof(name);
  getsockname(listener, reinterpret_cast<sockaddr*>(&name), &size);
  FrameClient client;
  client.base = base.get();
  client.payload.assign(payload, 'x');
  client.remaining = calls;
  BuffereventPtr bev(bufferevent_socket_new(base.get(), -1, BEV_OPT_CLOSE_ON_FREE));
  bufferevent_socket_connect(bev.get(), reinterpret_cast<sockaddr*>(&name), static_cast<int>(size));
  bufferevent_setcb(bev.get(), &OnClientRead, nullptr, nullptr, &client);
  bufferevent_enable(bev.get(), EV_READ | EV_WRITE);
  const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
  evutil_make_socket_nonblocking(fd);
  BuffereventPtr server(bufferevent_socket_new(base.get(), fd, BEV_OPT_CLOSE_ON_FREE));
  bufferevent_setcb(server.get(), &OnServerRead, nullptr, nullptr, nullptr);
  bufferevent_enable(server.get(), EV_READ | EV_WRITE);
  client.start = Clock::now();
  SendFrame(bev.get(), client.payload);
  event_base_dispatch(base.get());
  PrintReport("frame", std::move(client.latencies), ProcessCpuMicros() - client.cpu_start_micros);
  close(listener);
}

}  // namespace
}  // namespace camphorhoist

int main(int argc, char** argv) {
  const int calls = argc == 4 ? std::atoi(argv[2]) : 0;
  const int payload = argc == 4 ? std::atoi(argv[3]) : -1;
  if (calls <= 0 || payload < 0) {
    std::fprintf(stderr, "usage: rpc_loop_bench rpc|frame CALLS PAYLOAD_BYTES\n");
    return 2;
  }
  if (std::strcmp(argv[1], "rpc") == 0) {
    camphorhoist::RunRpc(calls, static_cast<size_t>(payload));
  } else {
    camphorhoist::RunFrame(calls, static_cast<size_t>(payload));
  }
  return 0;
}
