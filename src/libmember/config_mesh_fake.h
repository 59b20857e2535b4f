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

/// Returns the effects of one type.
template <typename Effect>
std::vector<Effect> EffectsOf(const DistributionEffects& effects) {
  std::vector<Effect> found;
  for (const DistributionEffect& it : effects) {
    if (const auto* effect = std::get_if<Effect>(&it)) found.push_back(*effect);
  }
  return found;
}

/// `MeshFake` with a `Distribution` per member and a platform that holds one version. Pulls, floor
/// requests and platform reads complete after one tick.
class ConfigMeshFake {
 public:
  explicit ConfigMeshFake(uint64_t seed) : mesh(seed) {
    mesh.observer = [this](const MemberId& id, const MemberEffect& effect) {
      OnMemberEffect(id, effect);
    };
  }

  MeshFake mesh;
  ConfigVersion head;
  /// Returns true if the member can reach the platform.
  std::function<bool(const MemberId&)> platform_reachable = [](const MemberId&) { return true; };
  /// Set if the version of any member decreased, or a member served a lower one after a restart.
  bool version_decreased = false;
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
    distributions_.erase(id);
    watches_.erase(id);
    distributions_.emplace(id, Distribution({id, MeshFake::Name(dc)}));
    mesh.Add(dc, i, seed_data_centres, incarnation);
  }

  void AddMany(int data_centres, int members) {
    for (int d = 0; d < data_centres; ++d) {
      for (int i = 0; i < members; ++i) Add(d, i, data_centres);
    }
  }

  Distribution& distribution(const MemberId& id) { return distributions_.at(id); }

  /// Applies a version without a pull, as after an accepted change.
  void Apply(const MemberId& id, const ConfigVersion& version) {
    Perform(id, distribution(id).OnApplied(mesh.now(), mesh.rng(), version, HashOf(version)));
  }

  uint64_t PlatformCalls() const { return platform_reads + platform_pulls + platform_watches; }

  size_t WatcherCount() const {
    return static_cast<size_t>(std::count_if(
        distributions_.begin(), distributions_.end(),
        [this](const auto& it) { return mesh.Running(it.first) && it.second.watching(); }));
  }

  /// True if all running members, or those of `data_centre` if that is given, have `version` in
  /// force.
  bool AllHave(const ConfigVersion& version, int data_centre = -1) const {
    for (const auto& [id, distribution] : distributions_) {
      if (!mesh.Running(id)) continue;
      if (data_centre >= 0 && MeshFake::DataCentreOf(id) != data_centre) continue;
      if (distribution.current() != version) return false;
    }
    return true;
  }

  void Run(MeshFake::Duration duration) {
    const MemberTime end = mesh.now() + duration;
    while (mesh.now() < end) Step();
  }

  /// True if the member serves with `version` in force.
  bool Serves(const MemberId& id, const ConfigVersion& version) const {
    const Distribution& it = distributions_.at(id);
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
    for (auto& [id, distribution] : distributions_) {
      if (mesh.Running(id)) Perform(id, distribution.Tick(mesh.now(), mesh.rng()));
    }
  }

  void ServeWatches() {
    const auto watches = watches_;
    for (const auto& [id, watch] : watches) {
      if (!mesh.Running(id)) continue;
      const bool reachable = platform_reachable(id);
      const bool timed_out = mesh.now() - watch.second > std::chrono::seconds(5);
      if (reachable && !(head > watch.first) && !timed_out) continue;
      watches_.erase(id);
      std::optional<ConfigVersion> result;
      if (reachable) result = head;
      Perform(id, distribution(id).OnWatchResult(mesh.now(), mesh.rng(), result));
    }
  }

  void OnMemberEffect(const MemberId& id, const MemberEffect& effect) {
    Distribution& distribution = distributions_.at(id);
    if (const auto* it = std::get_if<MemberChanged>(&effect)) {
      distribution.OnMember(it->entry, it->state);
    }
    if (const auto* it = std::get_if<DataCentreChanged>(&effect)) {
      distribution.OnDataCentre(it->data_centre, it->reachable);
    }
    if (const auto* it = std::get_if<VersionObserved>(&effect)) {
      const VersionObserved observed = *it;
      tasks_.push_back([this, id, observed] {
        if (!mesh.Running(id)) return;
        Perform(id, this->distribution(id).OnVersionObserved(mesh.now(), mesh.rng(), observed));
      });
    }
  }

  bool Connected(const MemberId& from, const MemberId& to) {
    if (mesh.nodes().count(to) == 0 || !mesh.Running(to)) return false;
    return !(mesh.link_blocked && (mesh.link_blocked(from, to) || mesh.link_blocked(to, from)));
  }

  void Perform(const MemberId& id, const DistributionEffects& effects) {
    for (const DistributionEffect& effect : effects) {
      std::visit([this, &id](const auto& it) { Execute(id, it); }, effect);
    }
    Publish(id);
  }

  void Publish(const MemberId& id) {
    auto& node = mesh.node(id);
    const ConfigVersion& version = distribution(id).current();
    if (const auto at = distribution(id).head_confirmed()) node.membership->SetHeadConfirmed(*at);
    if (distribution(id).may_serve()) {
      ConfigVersion& served = served_[id];
      version_decreased = version_decreased || version < served;
      served = std::max(served, version);
    }
    if (version == node.self.version) return;
    version_decreased = version_decreased || version < node.self.version;
    node.self.version = version;
    node.self.hash = HashOf(version);
    mesh.Update(id);
  }

  void Execute(const MemberId& id, const Announce& effect) {
    Publish(id);
    mesh.Post(id, mesh.node(id).membership->MakeAnnouncement(mesh.now(), effect.to));
  }

  void Execute(const MemberId& id, const Pull& effect) {
    if (!effect.from) ++platform_pulls;
    tasks_.push_back([this, id, effect] {
      if (!mesh.Running(id)) return;
      std::optional<ConfigVersion> got;
      if (!effect.from && platform_reachable(id)) got = head;
      if (effect.from && Connected(id, *effect.from)) got = distribution(*effect.from).current();
      // Like `Replica`, a member that does not serve yet rejects versions below its floor.
      const bool newer = got && *got > distribution(id).current() &&
                         (distribution(id).may_serve() || *got >= distribution(id).floor());
      Perform(id, distribution(id).OnPullDone(
                      mesh.now(), mesh.rng(), newer ? PullResult::kApplied : PullResult::kFailed,
                      newer ? *got : ConfigVersion(), newer ? HashOf(*got) : std::string()));
    });
  }

  void Execute(const MemberId& id, const WatchHead& effect) {
    ++platform_watches;
    watches_[id] = {effect.after, mesh.now()};
  }

  void Execute(const MemberId& id, const StopWatch&) { watches_.erase(id); }

  void Execute(const MemberId& id, const ReadHead&) {
    ++platform_reads;
    tasks_.push_back([this, id] {
      if (!mesh.Running(id)) return;
      std::optional<ConfigVersion> result;
      if (platform_reachable(id)) result = head;
      Perform(id, distribution(id).OnHeadRead(mesh.now(), mesh.rng(), result));
    });
  }

  void Execute(const MemberId& id, const RequestFloor& effect) {
    tasks_.push_back([this, id, effect] {
      if (!mesh.Running(id)) return;
      std::optional<ConfigVersion> highest;
      if (Connected(id, effect.to)) highest = distribution(effect.to).FloorForReply();
      Perform(id, distribution(id).OnFloorReply(mesh.now(), mesh.rng(), effect.to, highest,
                                                std::nullopt));
    });
  }

  std::map<MemberId, Distribution> distributions_;
  /// Highest version that each member has served, across restarts.
  std::map<MemberId, ConfigVersion> served_;
  std::map<MemberId, std::pair<ConfigVersion, MemberTime>> watches_;
  std::vector<Task> tasks_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBMEMBER_CONFIG_MESH_FAKE_H_
