#include "camphorhoistd/config_task.h"

#include <algorithm>
#include <utility>

#include "camphorhoist/error.h"
#include "libbase/log.h"

namespace camphorhoist {

namespace {

constexpr std::chrono::milliseconds kTickPeriod{100};
constexpr std::chrono::seconds kWatchTimeout{30};
constexpr std::chrono::seconds kPullTimeout{5};
/// Equal to the timeout of a floor request round, so that a late reply still counts.
constexpr std::chrono::seconds kFloorRequestTimeout{2};
/// Maximum number of members whose reported version is kept: about three times the 3,300 nodes that
/// a mesh is designed for.
constexpr size_t kMaxReportedMembers = 10000;

MemberTime Now() { return std::chrono::steady_clock::now(); }

ConfigDeltaMessage EncodeDelta(const Delta& delta, bool full) {
  ConfigDeltaMessage message;
  message.version = delta.to;
  message.hash = delta.to_hash;
  message.full = full;
  for (const StoredRecord& it : delta.upserts) {
    message.changes.push_back(
        {ToString(it.record.kind()), it.record.name(), it.version, it.record.body()});
  }
  for (const RecordKey& it : delta.removals) {
    message.changes.push_back({ToString(it.kind), it.name, 0, ""});
  }
  return message;
}

/// Decodes a peer's changes into a delta from `base`. Adds a finding for each invalid change.
Delta DecodeDelta(const ConfigDeltaMessage& message, const Snapshot& base, Findings* findings) {
  Delta delta;
  delta.from = base.version();
  delta.from_hash = base.hash();
  delta.to = message.version;
  delta.to_hash = message.hash;
  for (const RecordChangeMessage& it : message.changes) {
    const std::string place = it.kind + "/" + it.name;
    if (it.body.empty()) {
      const auto key = RecordKey::Parse(place);
      if (key) {
        delta.removals.push_back(*key);
      } else {
        findings->Add(place, "is not a valid record key");
      }
      continue;
    }
    auto record = Record::Parse(it.body, place, findings);
    if (record) delta.upserts.push_back({std::move(*record), it.changed_at});
  }
  return delta;
}

size_t PayloadSize(const ConfigDeltaMessage& message) {
  size_t bytes = 0;
  for (const RecordChangeMessage& it : message.changes) {
    bytes += it.kind.size() + it.name.size() + it.body.size() + sizeof(it.changed_at);
  }
  return bytes;
}

}  // namespace

/// Loads the current configuration from the platform: reads the head, then the pages that are not
/// in `base`.
class ConfigTask::PlatformLoad {
 public:
  PlatformLoad(ConfigTask* owner, Snapshot::Ptr base) : owner_(owner), base_(std::move(base)) {}
  ~PlatformLoad() { *alive_ = false; }
  PlatformLoad(const PlatformLoad&) = delete;
  PlatformLoad& operator=(const PlatformLoad&) = delete;

  void Start() {
    owner_->store_->Get(kHeadObjectKey, [this, alive = alive_](const GetResult& result) {
      if (*alive) OnHead(result);
    });
  }

 private:
  void OnHead(const GetResult& result) {
    if (result.error) return Fail(PullResult::kFailed);
    auto head = DecodeHead(result.body, kHeadObjectKey, &findings_);
    if (!head) return Fail(PullResult::kRejected);
    version_ = head->version;
    if (version_ <= base_->version()) return Fail(PullResult::kFailed);
    loader_.emplace(std::move(*head), base_);
    LoadNextPage();
  }

  void LoadNextPage() {
    const auto hash = loader_->NextMissingPage();
    if (!hash) return Finish();
    owner_->store_->Get(PageObjectKey(*hash),
                        [this, hash = *hash, alive = alive_](const GetResult& result) {
                          if (*alive) OnPage(hash, result);
                        });
  }

  void OnPage(const std::string& hash, const GetResult& result) {
    if (result.error) return Fail(PullResult::kFailed);
    if (!loader_->AddPage(hash, result.body, &findings_)) return Fail(PullResult::kRejected);
    LoadNextPage();
  }

  void Finish() {
    const Snapshot::Ptr snapshot = loader_->Finish(&findings_);
    if (!snapshot) return Fail(PullResult::kRejected);
    owner_->OnPlatformLoadDone(PullResult::kApplied, version_, snapshot->hash(), snapshot,
                               findings_);
  }

  void Fail(PullResult result) {
    owner_->OnPlatformLoadDone(result, version_, "", nullptr, findings_);
  }

  ConfigTask* owner_;
  Snapshot::Ptr base_;
  ConfigVersion version_;
  Findings findings_;
  std::optional<SnapshotLoader> loader_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

ConfigTask::ConfigTask(event_base* base, const Options& options, std::mt19937_64* rng,
                       ObjectStore* store, PeerPool* peers, SnapshotListener listener)
    : options_(options),
      rng_(rng),
      store_(store),
      peers_(peers),
      listener_(std::move(listener)),
      distribution_({options.self, options.data_centre, options.watch_always}),
      committer_(base, store),
      inbox_(base, [this](const MemberEvent& event) { OnMemberEvent(event); }),
      tick_timer_(base, [this] { Execute(distribution_.Tick(Now(), *rng_)); }) {}

ConfigTask::~ConfigTask() { *alive_ = false; }

void ConfigTask::Start(MemberTask* member) {
  member_ = member;
  tick_timer_.StartPeriodic(kTickPeriod);
}

void ConfigTask::OnMemberEvent(const MemberEvent& event) {
  if (const auto* observed = std::get_if<VersionObserved>(&event)) {
    RecordReportedVersion(observed->from, observed->version);
    Execute(distribution_.OnVersionObserved(Now(), *rng_, *observed));
  } else if (const auto* member = std::get_if<MemberChanged>(&event)) {
    RecordReportedVersion(member->entry.address, member->entry.version);
    distribution_.OnMember(member->entry, member->state);
  } else if (const auto* data_centre_changed = std::get_if<DataCentreChanged>(&event)) {
    distribution_.OnDataCentre(data_centre_changed->data_centre, data_centre_changed->reachable);
  }
}

void ConfigTask::RecordReportedVersion(const MemberId& member, const ConfigVersion& version) {
  if (version.none() || highest_reported_.size() >= kMaxReportedMembers) return;
  ConfigVersion& reported = highest_reported_[member];
  reported = std::max(reported, version);
}

void ConfigTask::Execute(const DistributionEffects& effects) {
  for (const DistributionEffect& it : effects) ExecuteOne(it);
  // A node that already serves must not stop serving because a newer version was observed.
  if (!distribution_.may_serve()) replica_.RaiseFloor(distribution_.floor());
  if (serving_ != MayServe()) PublishConfig();
  if (distribution_.head_confirmed()) member_->SetHeadConfirmed(*distribution_.head_confirmed());
}

void ConfigTask::ExecuteOne(const DistributionEffect& effect) {
  if (const auto* announce = std::get_if<camphorhoist::Announce>(&effect)) {
    member_->Announce(announce->to);
  } else if (const auto* pull = std::get_if<Pull>(&effect)) {
    StartPull(*pull);
  } else if (std::get_if<WatchHead>(&effect) != nullptr) {
    WatchPlatformHead();
  } else if (std::get_if<StopWatch>(&effect) != nullptr) {
    ++watch_generation_;
  } else if (std::get_if<ReadHead>(&effect) != nullptr) {
    ReadPlatformHead();
  } else if (const auto* request = std::get_if<RequestFloor>(&effect)) {
    RequestFloorFrom(request->to);
  }
}

void ConfigTask::StartPull(const Pull& pull) {
  if (!pull.from) return LoadFromPlatform();
  ++counters_.pulls;
  const Snapshot::Ptr base = replica_.current();
  peers_->Pull(*pull.from, base->version(), base->hash(), kPullTimeout,
               [this, alive = alive_](std::error_code ec, const ConfigDeltaMessage& message) {
                 if (!*alive) return;
                 if (ec) return FinishPull(PullResult::kFailed, {}, "");
                 OnDelta(message);
               });
}

void ConfigTask::OnDelta(const ConfigDeltaMessage& message) {
  counters_.pull_bytes += PayloadSize(message);
  if (message.full) ++counters_.pulls_full;
  const Snapshot::Ptr base = message.full ? Snapshot::Empty() : replica_.current();
  if (message.version <= replica_.current()->version()) {
    return FinishPull(PullResult::kFailed, {}, "");
  }
  Findings findings;
  const Delta delta = DecodeDelta(message, *base, &findings);
  const Snapshot::Ptr snapshot =
      findings.empty() ? ApplyDelta(*base, delta, &findings) : Snapshot::Ptr();
  if (!snapshot) {
    RefuseVersion(message.version, findings);
    return FinishPull(PullResult::kRejected, message.version, message.hash);
  }
  FinishPull(ApplySnapshot(snapshot), snapshot->version(), snapshot->hash());
}

void ConfigTask::LoadFromPlatform() {
  ++counters_.platform_loads;
  // Not destroyed yet: this may be called from a callback of that load.
  previous_load_ = std::move(load_);
  load_ = std::make_unique<PlatformLoad>(this, replica_.current());
  load_->Start();
}

void ConfigTask::OnPlatformLoadDone(PullResult result, const ConfigVersion& version,
                                    const std::string& hash, const Snapshot::Ptr& snapshot,
                                    const Findings& findings) {
  if (snapshot) result = ApplySnapshot(snapshot);
  if (result == PullResult::kRejected && !snapshot) RefuseVersion(version, findings);
  FinishPull(result, version, hash);
}

PullResult ConfigTask::ApplySnapshot(const Snapshot::Ptr& snapshot) {
  const ApplyResult result = replica_.TryApply(snapshot);
  if (result == ApplyResult::kApplied) {
    LogEvent(LogLevel::kInfo, "config", "applied")
        .Add("version", snapshot->version().ToString())
        .Add("hash", snapshot->hash())
        .Add("records", snapshot->record_count());
    PublishConfig();
    return PullResult::kApplied;
  }
  LogEvent(LogLevel::kInfo, "config", "not_applied")
      .Add("version", snapshot->version().ToString())
      .Add("reason", ToString(result));
  PublishConfig();
  return result == ApplyResult::kHashMismatch ? PullResult::kRejected : PullResult::kFailed;
}

void ConfigTask::FinishPull(PullResult result, const ConfigVersion& version,
                            const std::string& hash) {
  Execute(distribution_.OnPullDone(Now(), *rng_, result, version, hash));
}

void ConfigTask::RefuseVersion(const ConfigVersion& version, const Findings& findings) {
  ++counters_.refused_versions;
  LogEvent(LogLevel::kError, "config", "version_refused")
      .Add("version", version.ToString())
      .Add("findings", findings.ToString());
  replica_.SetLastRefusal(version, findings);
  PublishConfig();
}

void ConfigTask::PublishConfig() {
  const Snapshot::Ptr& current = replica_.current();
  const auto& refusal = replica_.last_refusal();
  serving_ = MayServe();
  listener_(serving_ ? current : nullptr);
  member_->PublishConfig(current->version(), current->version().none() ? "" : current->hash(),
                         refusal ? refusal->version.ToString() + ": " + refusal->reason : "");
}

void ConfigTask::WatchPlatformHead() {
  const uint64_t generation = ++watch_generation_;
  store_->Watch(kHeadObjectKey, head_object_version_, kWatchTimeout,
                [this, generation, alive = alive_](const WatchResult& result) {
                  if (*alive && generation == watch_generation_) OnWatchResult(result);
                });
}

void ConfigTask::OnWatchResult(const WatchResult& result) {
  if (!result.error && !result.changed) {
    Execute(distribution_.OnWatchResult(Now(), *rng_, head_version_));
    return;
  }
  Execute(distribution_.OnWatchResult(Now(), *rng_,
                                      UpdateHead(result.error, result.version, result.body)));
}

void ConfigTask::ReadPlatformHead() {
  store_->Get(kHeadObjectKey, [this, alive = alive_](const GetResult& result) {
    if (!*alive) return;
    Execute(distribution_.OnHeadRead(Now(), *rng_,
                                     UpdateHead(result.error, result.version, result.body)));
  });
}

std::optional<ConfigVersion> ConfigTask::UpdateHead(const std::error_code& error,
                                                    ObjectVersion object_version,
                                                    const std::string& body) {
  if (error == Errc::kNotFound) return ConfigVersion();
  if (error) return std::nullopt;
  Findings findings;
  const auto head = DecodeHead(body, kHeadObjectKey, &findings);
  if (!head) {
    LogEvent(LogLevel::kError, "config", "malformed_head").Add("findings", findings.ToString());
    return std::nullopt;
  }
  head_object_version_ = object_version;
  head_version_ = head->version;
  return head_version_;
}

void ConfigTask::RequestFloorFrom(const MemberId& peer) {
  peers_->Floor(peer, options_.self.ToString(), kFloorRequestTimeout,
                [this, peer, alive = alive_](std::error_code ec, const FloorReply& reply) {
                  if (!*alive) return;
                  std::optional<ConfigVersion> highest;
                  std::optional<ConfigVersion> reported;
                  if (!ec) {
                    highest = reply.highest;
                    reported = reply.reported;
                  }
                  Execute(distribution_.OnFloorReply(Now(), *rng_, peer, highest, reported));
                });
}

void ConfigTask::CommitChangeSet(ChangeSet change_set, CommitCallback callback) {
  const int fleet_schema = static_cast<int>(member_->membership().SchemaRange().first);
  committer_.Commit(
      std::move(change_set), replica_.current(), fleet_schema,
      [this, callback = std::move(callback), alive = alive_](const AcceptOutcome& outcome,
                                                             const Snapshot::Ptr& snapshot) {
        if (*alive && snapshot && ApplySnapshot(snapshot) == PullResult::kApplied) {
          Execute(distribution_.OnApplied(Now(), *rng_, snapshot->version(), snapshot->hash()));
        }
        callback(outcome);
      });
}

void ConfigTask::FindChangeSet(
    const std::string& id,
    std::function<void(std::error_code, std::optional<ConfigVersion>)> callback) {
  store_->Get(kHeadObjectKey, [id, callback = std::move(callback)](const GetResult& result) {
    if (result.error == Errc::kNotFound) return callback({}, std::nullopt);
    if (result.error) return callback(result.error, std::nullopt);
    Findings findings;
    const auto head = DecodeHead(result.body, kHeadObjectKey, &findings);
    if (!head) return callback(Errc::kInvalidInput, std::nullopt);
    const auto number = head->AcceptedNumber(id);
    if (!number) return callback({}, std::nullopt);
    callback({}, ConfigVersion(head->version.epoch(), *number));
  });
}

ConfigDeltaMessage ConfigTask::OnPull(const ConfigVersion& version, const std::string& hash) const {
  const auto delta = options_.full_transfer ? std::nullopt : replica_.DeltaFrom(version, hash);
  if (delta) return EncodeDelta(*delta, false);
  const Snapshot::Ptr& current = replica_.current();
  if (current->version() <= version) {
    // No newer version; the requester detects this from the version in the reply.
    ConfigDeltaMessage message;
    message.version = current->version();
    message.hash = current->hash();
    return message;
  }
  return EncodeDelta(MakeDelta(*Snapshot::Empty(), *current), true);
}

FloorReply ConfigTask::OnFloor(const std::string& address) const {
  FloorReply reply;
  reply.highest = distribution_.FloorForReply();
  const auto id = NetAddress::Parse(address);
  const auto it = id ? highest_reported_.find(*id) : highest_reported_.end();
  if (it != highest_reported_.end()) reply.reported = it->second;
  return reply;
}

}  // namespace camphorhoist
