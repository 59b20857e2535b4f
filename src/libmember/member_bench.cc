// Measures the cost of the membership protocol in one data centre: messages and bytes per member at
// rest and per configuration change, time until all members are reached, time per tick and message,
// and memory per entry.
//
// Usage: member_bench [MEMBERS...] (default 48 96 192 471). Writes a line of text and a line of
// JSON per size. Sizes in bytes are those of the encoded messages without IP and UDP headers (28
// bytes), except for the `wire` ones.

#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "camphorhoist/membership.h"
#include "libmember/mesh_fake.h"

namespace {

/// Bytes in use on the heap. Counted here because the statistics of the allocator include its
/// caches.
size_t heap_bytes = 0;

}  // namespace

void* operator new(size_t size) {
  void* block = std::malloc(size);
  if (block == nullptr) throw std::bad_alloc();
  heap_bytes += malloc_usable_size(block);
  return block;
}

void operator delete(void* block) noexcept {
  heap_bytes -= malloc_usable_size(block);
  std::free(block);
}

void operator delete(void* block, size_t) noexcept { operator delete(block); }

namespace camphorhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The updates of the join are still gossiped for some time after all members know each other.
constexpr seconds kSettleTime{300};
constexpr seconds kRestTime{60};
// 12,000 configuration changes per day.
constexpr milliseconds kChangeInterval{7200};
constexpr int kChanges = 5;
constexpr size_t kIpUdpHeaderBytes = 28;
constexpr double kTargetBytesPerSecond = 3000;

double Seconds(MemberTime::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

struct Traffic {
  double messages = 0;
  double bytes = 0;
  /// Bytes with IP and UDP headers.
  double wire_bytes = 0;
};

/// Traffic per member and second between two samples of the statistics.
Traffic TrafficBetween(const MeshFake::Stats& before, const MeshFake::Stats& after, size_t members,
                       MemberTime::duration time) {
  const double scale = 1.0 / (static_cast<double>(members) * Seconds(time));
  Traffic traffic;
  traffic.messages = static_cast<double>(after.messages - before.messages) * scale;
  traffic.bytes = static_cast<double>(after.bytes - before.bytes) * scale;
  traffic.wire_bytes = traffic.bytes + traffic.messages * kIpUdpHeaderBytes;
  return traffic;
}

struct Figures {
  size_t members = 0;
  double join_seconds = -1;
  /// Bytes sent per member until the end of the settling time.
  double join_bytes = 0;
  Traffic rest;
  Traffic changing;
  double bytes_per_change = 0;
  double version_heard_seconds = -1;
  double version_reported_seconds = -1;
  double endpoint_seconds = -1;
  double tick_micros = 0;
  double message_micros = 0;
  double bytes_per_entry = 0;
};

class Bench {
 public:
  explicit Bench(size_t members) : mesh_(1) { figures_.members = members; }

  Figures Run() {
    MeasureJoin();
    MeasureRest();
    MeasureChanges();
    MeasureDrain();
    MeasureMemory();
    return figures_;
  }

 private:
  void MeasureJoin() {
    const MemberTime start = mesh_.now();
    mesh_.AddMany(1, static_cast<int>(figures_.members));
    const bool joined =
        mesh_.RunUntil([this] { return mesh_.AllSee(figures_.members); }, std::chrono::minutes(3));
    if (joined) figures_.join_seconds = Seconds(mesh_.now() - start);
    mesh_.Run(kSettleTime);
    const double members = static_cast<double>(figures_.members);
    figures_.join_bytes = static_cast<double>(mesh_.stats().bytes) / members;
  }

  void MeasureRest() {
    const auto before = mesh_.stats();
    mesh_.Run(kRestTime);
    figures_.rest = TrafficBetween(before, mesh_.stats(), figures_.members, kRestTime);
    const auto& after = mesh_.stats();
    figures_.tick_micros = 1e6 * Seconds(after.tick_time - before.tick_time) /
                           static_cast<double>(after.ticks - before.ticks);
    figures_.message_micros = 1e6 * Seconds(after.message_time - before.message_time) /
                              static_cast<double>(after.deliveries - before.deliveries);
  }

  // Each member applies a version as soon as it observes it, without a pull, so that the figures
  // cover only the membership protocol. They include the three announcements of each member.
  void MeasureChanges() {
    const auto before = mesh_.stats();
    const MemberTime start = mesh_.now();
    mesh_.observer = [this](const MemberId& id, const MemberEffect& effect) {
      const auto* observed = std::get_if<VersionObserved>(&effect);
      if (observed != nullptr) pending_.emplace_back(id, observed->version);
    };
    for (int i = 1; i <= kChanges; ++i) {
      MeasureOneChange(ConfigVersion(1, static_cast<uint64_t>(i)));
    }
    mesh_.observer = nullptr;
    const auto time = mesh_.now() - start;
    figures_.changing = TrafficBetween(before, mesh_.stats(), figures_.members, time);
    figures_.bytes_per_change =
        (figures_.changing.wire_bytes - figures_.rest.wire_bytes) * Seconds(kChangeInterval);
  }

  void MeasureOneChange(const ConfigVersion& version) {
    const MemberTime start = mesh_.now();
    MemberTime observed{};
    MemberTime reported{};
    ApplyVersion(MeshFake::Id(0, 0), version);
    while (mesh_.now() - start < kChangeInterval) {
      mesh_.Run(MeshFake::kTick);
      for (const auto& [id, it] : std::exchange(pending_, {})) {
        if (it > mesh_.node(id).self.version) ApplyVersion(id, it);
      }
      if (observed == MemberTime{} && AllHave(version)) observed = mesh_.now();
      if (reported == MemberTime{} && AllReport(version)) reported = mesh_.now();
    }
    if (observed != MemberTime{}) figures_.version_heard_seconds = Seconds(observed - start);
    if (reported != MemberTime{}) figures_.version_reported_seconds = Seconds(reported - start);
  }

  void ApplyVersion(const MemberId& id, const ConfigVersion& version) {
    auto& node = mesh_.node(id);
    node.self.version = version;
    node.self.hash = std::string(64, 'a');
    mesh_.Update(id);
    for (int i = 0; i < 3; ++i) {
      const auto to = MeshFake::Id(0, static_cast<int>(mesh_.rng()() % figures_.members));
      if (to != id) mesh_.Post(id, node.membership->MakeAnnouncement(mesh_.now(), to));
    }
  }

  bool AllHave(const ConfigVersion& version) {
    for (auto& [id, node] : mesh_.nodes()) {
      if (node.self.version < version) return false;
    }
    return true;
  }

  // Checks the versions of all members, but only in the views of five members.
  bool AllReport(const ConfigVersion& version) {
    for (int i = 0; i < 5; ++i) {
      for (const MemberView& it : mesh_.node(MeshFake::Id(0, i)).membership->Members()) {
        if (it.entry.version < version) return false;
      }
    }
    return true;
  }

  void MeasureDrain() {
    const MemberId id = MeshFake::Id(0, 1);
    const MemberTime start = mesh_.now();
    mesh_.node(id).self.draining = true;
    mesh_.Update(id);
    const auto drained = [&] {
      for (auto& [other, node] : mesh_.nodes()) {
        if (!node.membership->Find(id)->entry.draining) return false;
      }
      return true;
    };
    if (mesh_.RunUntil(drained, seconds(30))) {
      figures_.endpoint_seconds = Seconds(mesh_.now() - start);
    }
  }

  // Measures the heap growth of one member that learns all others.
  void MeasureMemory() {
    MembershipOptions options;
    options.mesh = "test";
    options.self = MeshFake::Id(9, 0);
    options.data_centre = MeshFake::Name(0);
    options.incarnation = 1;
    Membership fresh(options);
    const auto views = mesh_.node(MeshFake::Id(0, 0)).membership->Members();
    MemberMessage message = mesh_.node(MeshFake::Id(0, 0))
                                .membership->MakeAnnouncement(mesh_.now(), options.self)
                                .message;
    message.kind = MessageKind::kPage;
    fresh.Tick(mesh_.now(), mesh_.rng());
    const auto before = heap_bytes;
    for (const MemberView& it : views) {
      message.updates = {{it.state, true, it.entry}};
      fresh.OnMessage(mesh_.now(), mesh_.rng(), message.sender, message);
    }
    message.updates = {};
    const auto after = heap_bytes;
    figures_.bytes_per_entry =
        static_cast<double>(after - before) / static_cast<double>(views.size());
  }

  MeshFake mesh_;
  Figures figures_;
  std::vector<std::pair<MemberId, ConfigVersion>> pending_;
};

void Print(const Figures& it) {
  std::printf(
      "members=%zu join_s=%.1f join_bytes=%.0f rest_messages_per_s=%.2f rest_bytes_per_s=%.0f "
      "rest_wire_bytes_per_s=%.0f changing_messages_per_s=%.2f changing_wire_bytes_per_s=%.0f "
      "(%.0f%% of 3 KB/s) wire_bytes_per_change=%.0f version_heard_s=%.1f "
      "version_reported_s=%.1f drain_s=%.1f tick_us=%.1f message_us=%.1f bytes_per_entry=%.0f\n",
      it.members, it.join_seconds, it.join_bytes, it.rest.messages, it.rest.bytes,
      it.rest.wire_bytes, it.changing.messages, it.changing.wire_bytes,
      100 * it.changing.wire_bytes / kTargetBytesPerSecond, it.bytes_per_change,
      it.version_heard_seconds, it.version_reported_seconds, it.endpoint_seconds, it.tick_micros,
      it.message_micros, it.bytes_per_entry);
  const nlohmann::json json = {{"members", it.members},
                               {"join_s", it.join_seconds},
                               {"join_bytes", it.join_bytes},
                               {"rest_messages_per_s", it.rest.messages},
                               {"rest_bytes_per_s", it.rest.bytes},
                               {"rest_wire_bytes_per_s", it.rest.wire_bytes},
                               {"changing_messages_per_s", it.changing.messages},
                               {"changing_wire_bytes_per_s", it.changing.wire_bytes},
                               {"wire_bytes_per_change", it.bytes_per_change},
                               {"version_heard_s", it.version_heard_seconds},
                               {"version_reported_s", it.version_reported_seconds},
                               {"drain_s", it.endpoint_seconds},
                               {"tick_us", it.tick_micros},
                               {"message_us", it.message_micros},
                               {"bytes_per_entry", it.bytes_per_entry}};
  std::printf("%s\n", json.dump().c_str());
  std::fflush(stdout);
}

}  // namespace
}  // namespace camphorhoist

int main(int argc, char** argv) {
  std::vector<size_t> sizes;
  for (int i = 1; i < argc; ++i) sizes.push_back(std::strtoul(argv[i], nullptr, 10));
  if (sizes.empty()) sizes = {48, 96, 192, 471};
  for (size_t n : sizes) {
    if (n < 6 || n > 2000) {
      std::fprintf(stderr, "member_bench: %zu members: must be between 6 and 2000\n", n);
      return 2;
    }
    camphorhoist::Print(camphorhoist::Bench(n).Run());
  }
  return 0;
}
