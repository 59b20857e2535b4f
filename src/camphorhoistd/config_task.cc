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
/// As long as a round of floor questions: a late answer still counts.
constexpr std::chrono::seconds kFloorTimeout{2};
/// Addresses remembered with their reported version: three times the 3,300 nodes of the design
/// size.
constexpr size_t kMaxReported = 10000;

MemberTime Now() { return std::chrono::steady_clock::now(); }

ConfigDeltaMessage ToMessage(const Delta& delta, bool full) {
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

/// Decodes the changes of a peer, collecting every fault.
Delta FromMessage(const ConfigDeltaMessage& message, const Snapshot& base, Findings* findings) {
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
        findings->Add(place, "is not the key of a record");
      }
      continue;
    }
    auto record = Record::Parse(it.body, place, findings);
    if (record) delta.upserts.push_back({std::move(*record), it.changed_at});
  }
  return delta;
}

size_t SizeOf(const ConfigDeltaMessage& message) {
  size_t bytes = 0;
  for (const RecordChangeMessage& it : message.changes) {
    bytes += it.kind.size() + it.name.size() + it.body.size() + sizeof(it.changed_at);
  }
  return bytes;
}

}  // namespace

/// Reads the head and the pages that this node does not have.
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
    Next();
  }

  void Next() {
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
    Next();
  }

  void Finish() {
    const Snapshot::Ptr snapshot = loader_->Finish(&findings_);
    if (!snapshot) return Fail(PullResult::kRejected);
    owner_->OnLoaded(PullResult::kApplied, version_, snapshot->hash(), snapshot, findings_);
  }

  void Fail(PullResult result) { owner_->OnLoaded(result, version_, "", nullptr, findings_); }

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
      tick_(base, [this] { Carry(distribution_.Tick(Now(), *rng_)); }) {}

ConfigTask::~ConfigTask() { *alive_ = false; }

void ConfigTask::Start(MemberTask* member) {
  member_ = member;
  tick_.StartPeriodic(kTickPeriod);
}

void ConfigTask::OnMemberEvent(const MemberEvent& event) {
  if (const auto* heard = std::get_if<VersionObserved>(&event)) {
    NoteReported(heard->from, heard->version);
    Carry(distribution_.OnVersionObserved(Now(), *rng_, *heard));
  } else if (const auto* member = std::get_if<MemberChanged>(&event)) {
    NoteReported(member->entry.address, member->entry.version);
    distribution_.OnMember(member->entry, member->state);
  } else if (const auto* centre = std::get_if<DataCentreChanged>(&event)) {
    distribution_.OnDataCentre(centre->data_centre, centre->reachable);
  }
}

void ConfigTask::NoteReported(const MemberId& member, const ConfigVersion& version) {
  if (version.none() || reported_.size() >= kMaxReported) return;
  ConfigVersion& reported = reported_[member];
  reported = std::max(reported, version);
}

void ConfigTask::Carry(const DistributionEffects& effects) {
  for (const DistributionEffect& it : effects) CarryOne(it);
  // Once the node serves, a version that was only heard of must not stop it.
  if (!distribution_.may_serve()) replica_.RaiseFloor(distribution_.floor());
  if (serving_ != MayServe()) Publish();
  if (distribution_.head_confirmed()) member_->SetHeadConfirmed(*distribution_.head_confirmed());
}

void ConfigTask::CarryOne(const DistributionEffect& effect) {
  if (const auto* announce = std::get_if<camphorhoist::Announce>(&effect)) {
    member_->Announce(announce->to);
  } else if (const auto* pull = std::get_if<Pull>(&effect)) {
    PullFromPeer(*pull);
  } else if (std::get_if<WatchHead>(&effect) != nullptr) {
    Watch();
  } else if (std::get_if<StopWatch>(&effect) != nullptr) {
    ++watch_generation_;
  } else if (std::get_if<ReadHead>(&effect) != nullptr) {
    ReadPlatformHead();
  } else if (const auto* ask = std::get_if<RequestFloor>(&effect)) {
    AskPeerFloor(ask->to);
  }
}

void ConfigTask::PullFromPeer(const Pull& pull) {
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
  counters_.pull_bytes += SizeOf(message);
  if (message.full) ++counters_.pulls_full;
  const Snapshot::Ptr base = message.full ? Snapshot::Empty() : replica_.current();
  if (message.version <= replica_.current()->version()) {
    return FinishPull(PullResult::kFailed, {}, "");
  }
  Findings findings;
  const Delta delta = FromMessage(message, *base, &findings);
  const Snapshot::Ptr snapshot =
      findings.empty() ? ApplyDelta(*base, delta, &findings) : Snapshot::Ptr();
  if (!snapshot) {
    NoteRefusal(message.version, findings);
    return FinishPull(PullResult::kRejected, message.version, message.hash);
  }
  FinishPull(Offer(snapshot), snapshot->version(), snapshot->hash());
}

void ConfigTask::LoadFromPlatform() {
  ++counters_.platform_loads;
  // The load that ended may be the one whose callback is running.
  ended_load_ = std::move(load_);
  load_ = std::make_unique<PlatformLoad>(this, replica_.current());
  load_->Start();
}

void ConfigTask::OnLoaded(PullResult result, const ConfigVersion& version, const std::string& hash,
                          const Snapshot::Ptr& snapshot, const Findings& findings) {
  if (snapshot) result = Offer(snapshot);
  if (result == PullResult::kRejected && !snapshot) NoteRefusal(version, findings);
  FinishPull(result, version, hash);
}

PullResult ConfigTask::Offer(const Snapshot::Ptr& snapshot) {
  const ApplyResult result = replica_.TryApply(snapshot);
  if (result == ApplyResult::kApplied) {
    LogEvent(LogLevel::kInfo, "config", "applied")
        .Add("version", snapshot->version().ToString())
        .Add("hash", snapshot->hash())
        .Add("records", snapshot->record_count());
    Publish();
    return PullResult::kApplied;
  }
  LogEvent(LogLevel::kInfo, "config", "not_applied")
      .Add("version", snapshot->version().ToString())
      .Add("reason", ToString(result));
  Publish();
  return result == ApplyResult::kHashMismatch ? PullResult::kRejected : PullResult::kFailed;
}

void ConfigTask::FinishPull(PullResult result, const ConfigVersion& version,
                            const std::string& hash) {
  Carry(distribution_.OnPullDone(Now(), *rng_, result, version, hash));
}

void ConfigTask::NoteRefusal(const ConfigVersion& version, const Findings& findings) {
  ++counters_.refused_versions;
  LogEvent(LogLevel::kError, "config", "version_refused")
      .Add("version", version.ToString())
      .Add("findings", findings.ToString());
  replica_.SetLastRefusal(version, findings);
  Publish();
}

void ConfigTask::Publish() {
  const Snapshot::Ptr& current = replica_.current();
  const auto& refusal = replica_.last_refusal();
  serving_ = MayServe();
  listener_(serving_ ? current : nullptr);
  member_->PublishConfig(current->version(), current->version().none() ? "" : current->hash(),
                         refusal ? refusal->version.ToString() + ": " + refusal->reason : "");
}

void ConfigTask::Watch() {
  const uint64_t generation = ++watch_generation_;
  store_->Watch(kHeadObjectKey, head_object_version_, kWatchTimeout,
                [this, generation, alive = alive_](const WatchResult& result) {
                  if (*alive && generation == watch_generation_) OnWatch(result);
                });
}

void ConfigTask::OnWatch(const WatchResult& result) {
  if (!result.error && !result.changed) {
    Carry(distribution_.OnWatchResult(Now(), *rng_, head_version_));
    return;
  }
  Carry(distribution_.OnWatchResult(Now(), *rng_,
                                    VersionOf(result.error, result.version, result.body)));
}

void ConfigTask::ReadPlatformHead() {
  store_->Get(kHeadObjectKey, [this, alive = alive_](const GetResult& result) {
    if (!*alive) return;
    Carry(distribution_.OnHeadRead(Now(), *rng_,
                                   VersionOf(result.error, result.version, result.body)));
  });
}

std::optional<ConfigVersion> ConfigTask::VersionOf(const std::error_code& error,
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

void ConfigTask::AskPeerFloor(const MemberId& peer) {
  peers_->Floor(peer, options_.self.ToString(), kFloorTimeout,
                [this, peer, alive = alive_](std::error_code ec, const FloorReply& reply) {
                  if (!*alive) return;
                  std::optional<ConfigVersion> highest;
                  std::optional<ConfigVersion> reported;
                  if (!ec) {
                    highest = reply.highest;
                    reported = reply.reported;
                  }
                  Carry(distribution_.OnFloorReply(Now(), *rng_, peer, highest, reported));
                });
}

void ConfigTask::Apply(ChangeSet change_set, ApplyCallback callback) {
  const int fleet_schema = static_cast<int>(member_->membership().SchemaRange().first);
  committer_.Commit(
      std::move(change_set), replica_.current(), fleet_schema,
      [this, callback = std::move(callback), alive = alive_](const AcceptOutcome& outcome,
                                                             const Snapshot::Ptr& snapshot) {
        if (*alive && snapshot && Offer(snapshot) == PullResult::kApplied) {
          Carry(distribution_.OnApplied(Now(), *rng_, snapshot->version(), snapshot->hash()));
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
  if (delta) return ToMessage(*delta, false);
  const Snapshot::Ptr& current = replica_.current();
  if (current->version() <= version) {
    // Nothing newer here; the asker sees that by the version.
    ConfigDeltaMessage message;
    message.version = current->version();
    message.hash = current->hash();
    return message;
  }
  return ToMessage(MakeDelta(*Snapshot::Empty(), *current), true);
}

FloorReply ConfigTask::OnFloor(const std::string& address) const {
  FloorReply reply;
  reply.highest = distribution_.FloorForReply();
  const auto id = NetAddress::Parse(address);
  const auto it = id ? reported_.find(*id) : reported_.end();
  if (it != reported_.end()) reply.reported = it->second;
  return reply;
}

}  // namespace camphorhoist
