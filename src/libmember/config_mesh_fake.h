#ifndef CAMPHORHOIST_LIBMEMBER_CONFIG_MESH_FAKE_H_
#define CAMPHORHOIST_LIBMEMBER_CONFIG_MESH_FAKE_H_

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "camphorhoist/distribution.h"
#include "libmember/mesh_fake.h"

namespace camphorhoist {

/// The effects of one type.
template <typename Effect>
std::vector<Effect> Only(const DistributionEffects& effects) {
  std::vector<Effect> found;
  for (const DistributionEffect& it : effects) {
    if (const auto* effect = std::get_if<Effect>(&it)) found.push_back(*effect);
  }
  return found;
}

/// `MeshFake` with a `Distribution` per member and a platform that holds one version. Pulls, floor
/// questions and platform reads are answered after one tick.
class ConfigMeshFake {
 public:
  explicit ConfigMeshFake(uint64_t seed) : mesh(seed) {
    mesh.observer = [this](const MemberId& id, const MemberEffect& effect) { Feed(id, effect); };
  }

  MeshFake mesh;
  ConfigVersion head;
  /// Returns true if the member can reach the platform.
  std::function<bool(const MemberId&)> platform_reachable = [](const MemberId&) { return true; };
  /// Set if any member went to a lower version, or served one after a restart.
  bool went_back = false;
  uint64_t platform_reads = 0;
  uint64_t platform_pulls = 0;
  uint64_t platform_watches = 0;

  static std::string HashOf(const ConfigVersion& version) {
    std::string hash = version.ToString();
    std::replace(hash.begin(), hash.end(), '.', 'e');
    return std::string(64 - hash.size(), '0') + hash;
  }

  void Add(int dc, int i, int seed_data_centres, uint64_t incarnation = 1000) {
    const MemberId id = MeshFake::Id(dc, i);
    rules_.erase(id);
    watches_.erase(id);
    rules_.emplace(id, Distribution({id, MeshFake::Name(dc)}));
    mesh.Add(dc, i, seed_data_centres, incarnation);
  }

  void AddMany(int data_centres, int members) {
    for (int d = 0; d < data_centres; ++d) {
      for (int i = 0; i < members; ++i) Add(d, i, data_centres);
    }
  }

  Distribution& rules(const MemberId& id) { return rules_.at(id); }

  /// The member accepted a change, or starts with a version in force.
  void Apply(const MemberId& id, const ConfigVersion& version) {
    Perform(id, rules(id).OnApplied(mesh.now(), mesh.rng(), version, HashOf(version)));
  }

  uint64_t PlatformCalls() const { return platform_reads + platform_pulls + platform_watches; }

  size_t Watchers() const {
    return static_cast<size_t>(std::count_if(rules_.begin(), rules_.end(), [this](const auto& it) {
      return mesh.Running(it.first) && it.second.watching();
    }));
  }

  /// True if all running members, of one data centre if given, have `version` in force.
  bool AllAt(const ConfigVersion& version, int data_centre = -1) const {
    for (const auto& [id, rules] : rules_) {
      if (!mesh.Running(id)) continue;
      if (data_centre >= 0 && MeshFake::DataCentreOf(id) != data_centre) continue;
      if (rules.current() != version) return false;
    }
    return true;
  }

  void Run(MeshFake::Duration duration) {
    const MemberTime end = mesh.now() + duration;
    while (mesh.now() < end) Step();
  }

  /// True if the member serves at `version`.
  bool Serves(const MemberId& id, const ConfigVersion& version) const {
    const Distribution& it = rules_.at(id);
    return it.may_serve() && it.current() == version;
  }

  bool RunUntil(const std::function<bool()>& done, MeshFake::Duration limit) {
    const MemberTime end = mesh.now() + limit;
    while (!done()) {
      if (mesh.now() >= end) return false;
      Step();
    }
    return true;
  }

 private:
  using Task = std::function<void()>;

  void Step() {
    mesh.Run(MeshFake::kTick);
    for (Task& it : std::exchange(tasks_, {})) it();
    ServeWatches();
    for (auto& [id, rules] : rules_) {
      if (mesh.Running(id)) Perform(id, rules.Tick(mesh.now(), mesh.rng()));
    }
  }

  void ServeWatches() {
    const auto watches = watches_;
    for (const auto& [id, watch] : watches) {
      if (!mesh.Running(id)) continue;
      const bool reachable = platform_reachable(id);
      const bool over = mesh.now() - watch.second > std::chrono::seconds(5);
      if (reachable && !(head > watch.first) && !over) continue;
      watches_.erase(id);
      std::optional<ConfigVersion> result;
      if (reachable) result = head;
      Perform(id, rules(id).OnWatchResult(mesh.now(), mesh.rng(), result));
    }
  }

  void Feed(const MemberId& id, const MemberEffect& effect) {
    Distribution& rules = rules_.at(id);
    if (const auto* it = std::get_if<MemberChanged>(&effect)) rules.OnMember(it->entry, it->state);
    if (const auto* it = std::get_if<DataCentreChanged>(&effect)) {
      rules.OnDataCentre(it->data_centre, it->reachable);
    }
    if (const auto* it = std::get_if<VersionObserved>(&effect)) {
      const VersionObserved heard = *it;
      tasks_.push_back([this, id, heard] {
        if (!mesh.Running(id)) return;
        Perform(id, this->rules(id).OnVersionObserved(mesh.now(), mesh.rng(), heard));
      });
    }
  }

  bool Connected(const MemberId& from, const MemberId& to) {
    if (mesh.nodes().count(to) == 0 || !mesh.Running(to)) return false;
    return !(mesh.cut && (mesh.cut(from, to) || mesh.cut(to, from)));
  }

  void Perform(const MemberId& id, const DistributionEffects& effects) {
    for (const DistributionEffect& effect : effects) {
      std::visit([this, &id](const auto& it) { Do(id, it); }, effect);
    }
    Publish(id);
  }

  void Publish(const MemberId& id) {
    auto& node = mesh.node(id);
    const ConfigVersion& version = rules(id).current();
    if (const auto at = rules(id).head_confirmed()) node.membership->SetHeadConfirmed(*at);
    if (rules(id).may_serve()) {
      ConfigVersion& served = served_[id];
      went_back = went_back || version < served;
      served = std::max(served, version);
    }
    if (version == node.self.version) return;
    went_back = went_back || version < node.self.version;
    node.self.version = version;
    node.self.hash = HashOf(version);
    mesh.Update(id);
  }

  void Do(const MemberId& id, const Announce& effect) {
    Publish(id);
    mesh.Post(id, mesh.node(id).membership->MakeAnnouncement(mesh.now(), effect.to));
  }

  void Do(const MemberId& id, const Pull& effect) {
    if (!effect.from) ++platform_pulls;
    tasks_.push_back([this, id, effect] {
      if (!mesh.Running(id)) return;
      std::optional<ConfigVersion> got;
      if (!effect.from && platform_reachable(id)) got = head;
      if (effect.from && Connected(id, *effect.from)) got = rules(*effect.from).current();
      // As `Replica` does, a member that does not serve yet refuses what is below its floor.
      const bool newer =
          got && *got > rules(id).current() && (rules(id).may_serve() || *got >= rules(id).floor());
      Perform(id, rules(id).OnPullDone(
                      mesh.now(), mesh.rng(), newer ? PullResult::kApplied : PullResult::kFailed,
                      newer ? *got : ConfigVersion(), newer ? HashOf(*got) : std::string()));
    });
  }

  void Do(const MemberId& id, const WatchHead& effect) {
    ++platform_watches;
    watches_[id] = {effect.after, mesh.now()};
  }

  void Do(const MemberId& id, const StopWatch&) { watches_.erase(id); }

  void Do(const MemberId& id, const ReadHead&) {
    ++platform_reads;
    tasks_.push_back([this, id] {
      if (!mesh.Running(id)) return;
      std::optional<ConfigVersion> result;
      if (platform_reachable(id)) result = head;
      Perform(id, rules(id).OnHeadRead(mesh.now(), mesh.rng(), result));
    });
  }

  void Do(const MemberId& id, const RequestFloor& effect) {
    tasks_.push_back([this, id, effect] {
      if (!mesh.Running(id)) return;
      std::optional<ConfigVersion> highest;
      if (Connected(id, effect.to)) highest = rules(effect.to).FloorForReply();
      Perform(id, rules(id).OnFloorReply(mesh.now(), mesh.rng(), effect.to, highest, std::nullopt));
    });
  }

  std::map<MemberId, Distribution> rules_;
  /// Highest version that each member served, restarts included.
  std::map<MemberId, ConfigVersion> served_;
  std::map<MemberId, std::pair<ConfigVersion, MemberTime>> watches_;
  std::vector<Task> tasks_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBMEMBER_CONFIG_MESH_FAKE_H_
