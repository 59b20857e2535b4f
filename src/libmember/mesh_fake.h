#ifndef CAMPHORHOIST_LIBMEMBER_MESH_FAKE_H_
#define CAMPHORHOIST_LIBMEMBER_MESH_FAKE_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "camphorhoist/endpoint_table.h"
#include "camphorhoist/membership.h"

namespace camphorhoist {

/// Simulated mesh for tests and `member_bench`: `Membership` objects on a manual clock, connected
/// by a network that can lose, delay, duplicate and reorder messages. Each message is encoded and
/// decoded.
class MeshFake {
 public:
  using Duration = MemberTime::duration;

  struct Node {
    std::unique_ptr<Membership> membership;
    std::unique_ptr<EndpointTable> table;
    SelfState self;
    std::string data_centre;
    bool paused = false;
    bool crashed = false;
    uint64_t bytes_out = 0;
    uint64_t messages_out = 0;
  };

  struct Stats {
    uint64_t messages = 0;
    uint64_t bytes = 0;
    uint64_t ticks = 0;
    uint64_t deliveries = 0;
    /// Elapsed real time of the ticks and of the handled messages, including endpoint table
    /// updates. `message_time` also includes decoding, and both include the encoding of sent
    /// messages.
    Duration tick_time{};
    Duration message_time{};
  };

  static constexpr std::chrono::milliseconds kTick{100};

  explicit MeshFake(uint64_t seed) : rng_(seed), now_(std::chrono::hours(1)) {}

  // Probabilities from 0 to 1. The delay of a message is uniformly distributed between the bounds.
  double loss = 0;
  double duplication = 0;
  std::chrono::milliseconds min_delay{1};
  std::chrono::milliseconds max_delay{3};
  /// Returns true if messages from the first member to the second are dropped.
  std::function<bool(const MemberId&, const MemberId&)> link_blocked;
  /// Called for each effect of each member.
  std::function<void(const MemberId&, const MemberEffect&)> observer;

  /// The address of member `i` of data centre `dc` (both count from 0).
  static MemberId Id(int dc, int i) {
    return MemberId("10." + std::to_string(dc) + '.' + std::to_string(i / 250) + '.' +
                        std::to_string(i % 250 + 1),
                    7000);
  }
  static std::string Name(int dc) { return "dc" + std::to_string(dc); }
  static int DataCentreOf(const MemberId& id) { return std::stoi(id.ip().substr(3)); }

  /// Starts a member with one serving endpoint. Its seeds are the first three members of each data
  /// centre below `seed_data_centres`.
  void Add(int dc, int i, int seed_data_centres, uint64_t incarnation = 1000) {
    std::vector<MemberId> seeds;
    for (int d = 0; d < seed_data_centres; ++d) {
      for (int n = 0; n < 3; ++n) seeds.push_back(Id(d, n));
    }
    AddWithSeeds(dc, i, std::move(seeds), incarnation);
  }

  void AddWithSeeds(int dc, int i, std::vector<MemberId> seeds, uint64_t incarnation = 1000) {
    MembershipOptions options;
    options.mesh = "test";
    options.self = Id(dc, i);
    options.seeds = std::move(seeds);
    options.data_centre = Name(dc);
    options.region = "r" + std::to_string(dc % 2);
    options.incarnation = incarnation;
    Node& node = nodes_[options.self];
    node = Node();
    node.data_centre = options.data_centre;
    node.table = std::make_unique<EndpointTable>(options.data_centre, options.region);
    node.membership = std::make_unique<Membership>(options);
    node.self.endpoints = {{"svc" + std::to_string(i % 4), NetAddress(options.self.ip(), 8000), 6,
                            EndpointState::kServing}};
    Update(options.self);
  }

  void AddMany(int data_centres, int members) {
    for (int d = 0; d < data_centres; ++d) {
      for (int i = 0; i < members; ++i) Add(d, i, data_centres);
    }
  }

  Node& node(const MemberId& id) { return nodes_.at(id); }
  std::map<MemberId, Node>& nodes() { return nodes_; }
  MemberTime now() const { return now_; }
  std::mt19937_64& rng() { return rng_; }
  const Stats& stats() const { return stats_; }

  /// Publishes `node(id).self`.
  void Update(const MemberId& id) {
    Node& it = node(id);
    std::error_code ec;
    Perform(id, it.membership->UpdateSelf(now_, rng_, it.self, &ec));
    if (ec) throw std::runtime_error("own state refused: " + ec.message());
  }
  void Leave(const MemberId& id) { Perform(id, node(id).membership->Leave(now_, rng_)); }
  void Crash(const MemberId& id) { node(id).crashed = true; }
  void Pause(const MemberId& id) { node(id).paused = true; }
  /// Resumes a member, which first handles the messages that arrived during the pause.
  void Resume(const MemberId& id) {
    node(id).paused = false;
    for (auto& [from, bytes] : std::exchange(paused_packets_[id], {})) Deliver(from, id, bytes);
  }

  void Run(Duration duration) {
    const MemberTime end = now_ + duration;
    while (now_ < end) {
      const MemberTime next = now_ + kTick;
      while (!queue_.empty() && queue_.begin()->first.first <= next) {
        const auto it = queue_.begin();
        const Packet packet = std::move(it->second);
        now_ = std::max(now_, it->first.first);
        queue_.erase(it);
        Deliver(packet.from, packet.to, packet.bytes);
      }
      now_ = next;
      for (auto& [id, it] : nodes_) {
        if (it.paused || it.crashed) continue;
        const auto start = std::chrono::steady_clock::now();
        Perform(id, it.membership->Tick(now_, rng_));
        stats_.tick_time += std::chrono::steady_clock::now() - start;
        ++stats_.ticks;
      }
    }
  }

  /// Runs until `done` returns true. Returns false if it does not within `limit`.
  bool RunUntil(const std::function<bool()>& done, Duration limit) {
    const MemberTime end = now_ + limit;
    while (!done()) {
      if (now_ >= end) return false;
      Run(kTick);
    }
    return true;
  }

  bool Running(const MemberId& id) const {
    const Node& it = nodes_.at(id);
    return !it.paused && !it.crashed;
  }

  /// True if each running member, or each one of `data_centre` if that is given, counts exactly
  /// `live` live members.
  bool AllSee(size_t live, int data_centre = -1) const {
    for (const auto& [id, it] : nodes_) {
      if (!Running(id)) continue;
      if (data_centre >= 0 && it.data_centre != Name(data_centre)) continue;
      if (it.membership->LiveCount() != live) return false;
    }
    return true;
  }

  void Perform(const MemberId& id, const MemberEffects& effects) {
    for (const MemberEffect& effect : effects) {
      if (observer) observer(id, effect);
      node(id).table->Apply(effect);
      if (const auto* send = std::get_if<SendMessage>(&effect)) Post(id, *send);
    }
  }

  void Post(const MemberId& from, const SendMessage& send) {
    std::error_code ec;
    std::string text;
    std::string bytes = EncodeMemberMessage(send.message, &ec, &text);
    if (ec) throw std::runtime_error("message cannot be encoded: " + text);
    ++stats_.messages;
    stats_.bytes += bytes.size();
    node(from).bytes_out += bytes.size();
    ++node(from).messages_out;
    if (link_blocked && link_blocked(from, send.to)) return;
    const int copies = Bernoulli(duplication) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (Bernoulli(loss)) continue;
      const auto spread = static_cast<uint64_t>((max_delay - min_delay).count() + 1);
      const auto delay = min_delay + std::chrono::milliseconds(rng_() % spread);
      queue_[{now_ + delay, ++sequence_}] = {from, send.to, bytes};
    }
  }

 private:
  struct Packet {
    MemberId from;
    MemberId to;
    std::string bytes;
  };

  static constexpr size_t kMaxPausedPackets = 200;

  bool Bernoulli(double probability) {
    return probability > 0 && static_cast<double>(rng_() % 1000000) < probability * 1000000;
  }

  void Deliver(const MemberId& from, const MemberId& to, const std::string& bytes) {
    const auto it = nodes_.find(to);
    if (it == nodes_.end() || it->second.crashed) return;
    if (it->second.paused) {
      auto& packets = paused_packets_[to];
      if (packets.size() < kMaxPausedPackets) packets.emplace_back(from, bytes);
      return;
    }
    const auto start = std::chrono::steady_clock::now();
    std::error_code ec;
    const auto message = DecodeMemberMessage(bytes, &ec);
    if (!message) throw std::runtime_error("sent message cannot be decoded");
    Perform(to, it->second.membership->OnMessage(now_, rng_, from, *message));
    stats_.message_time += std::chrono::steady_clock::now() - start;
    ++stats_.deliveries;
  }

  std::mt19937_64 rng_;
  MemberTime now_;
  std::map<MemberId, Node> nodes_;
  std::map<std::pair<MemberTime, uint64_t>, Packet> queue_;
  std::map<MemberId, std::vector<std::pair<MemberId, std::string>>> paused_packets_;
  uint64_t sequence_ = 0;
  Stats stats_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBMEMBER_MESH_FAKE_H_
