#include "libsidecar/store/store_sync.h"

#include <algorithm>
#include <map>
#include <utility>

#include "camphorhoist/error.h"
#include "libbase/log.h"
#include "platform/config_codec.h"
#include "platform/rollout_codec.h"

namespace camphorhoist {

using nlohmann::json;
using std::chrono::steady_clock;

json EncodeEntry(const SidecarEntry& entry) {
  json departures = json::array();
  for (const UpstreamDeparture& it : entry.departures) {
    json departure = {{"instance", it.instance}};
    if (it.started_ms) departure["started_ms"] = *it.started_ms;
    departures.push_back(std::move(departure));
  }
  json spec = {{"address", entry.address},
               {"data_centre", entry.data_centre},
               {"departures", std::move(departures)},
               {"started_ms", entry.started_ms}};
  if (entry.stopped) spec["stopped"] = true;
  if (!entry.lost.empty()) spec["lost"] = entry.lost;
  return spec;
}

std::optional<SidecarEntry> DecodeEntry(const std::string& name, const json& spec) {
  const auto text = [&spec](const char* field) -> std::string {
    if (!spec.is_object() || !spec.contains(field) || !spec[field].is_string()) return {};
    return spec[field];
  };
  SidecarEntry entry;
  entry.node = name;
  entry.address = text("address");
  entry.data_centre = text("data_centre");
  if (!NetAddress::Parse(entry.address)) return std::nullopt;
  entry.stopped = spec.contains("stopped") && spec["stopped"] == true;
  if (spec.contains("lost") && spec["lost"].is_array()) {
    for (const json& it : spec["lost"]) {
      if (it.is_string()) entry.lost.insert(it.get<std::string>());
    }
  }
  if (!spec.contains("departures") || !spec["departures"].is_array()) return entry;
  for (const json& it : spec["departures"]) {
    if (!it.is_object() || !it.contains("instance") || !it["instance"].is_string()) continue;
    UpstreamDeparture departure;
    departure.instance = it["instance"];
    if (it.contains("started_ms") && it["started_ms"].is_number_integer()) {
      departure.started_ms = it["started_ms"].get<int64_t>();
    }
    entry.departures.push_back(std::move(departure));
  }
  return entry;
}

StoreSync::StoreSync(event_base* base, const SidecarSettings& settings, Handlers handlers)
    : handlers_(std::move(handlers)), client_(base, settings.store, [this] { OnRestored(); }) {
  own_entry_.node = settings.node;
  own_entry_.address = settings.peer_listen.ToString();
  own_entry_.data_centre = settings.data_centre;
  const auto started = std::chrono::system_clock::now().time_since_epoch();
  own_entry_.started_ms = std::chrono::duration_cast<std::chrono::milliseconds>(started).count();
  config_loop_.timer =
      std::make_unique<Timer>(base, [this] { config_loop_.listed ? WatchConfig() : ReadConfig(); });
  entries_loop_.timer = std::make_unique<Timer>(
      base, [this] { entries_loop_.listed ? WatchEntries() : ReadEntries(); });
  reads_rollouts_ = settings.rollout.has_value();
  rollouts_loop_.complete = true;
  rollouts_loop_.timer = std::make_unique<Timer>(
      base, [this] { rollouts_loop_.listed ? WatchRollouts() : ReadRollouts(); });
  write_loop_.timer = std::make_unique<Timer>(base, [this] { WriteEntry(); });
  version_timer_ = std::make_unique<Timer>(base, [this] { CheckVersion(); });
  restore_timer_ = std::make_unique<Timer>(base, [this] { RestartLoop(&entries_loop_); });
  revision_timer_ = std::make_unique<Timer>(base, [this] { CheckRevision(); });
  report_timer_ = std::make_unique<Timer>(base, [this] { RenewStalledWatches(); });
}

void StoreSync::Start() {
  ReadConfig();
  ReadEntries();
}

void StoreSync::RecordStoreResponse(std::error_code ec) {
  const bool responded = !ec || ec == Errc::kNotFound || ec == Errc::kConflict;
  if (responded) last_response_ = steady_clock::now();
  if (responded != store_lost_) return;
  store_lost_ = !responded;
  LogEvent(responded ? LogLevel::kInfo : LogLevel::kWarn, "store", responded ? "regained" : "lost")
      .Add("error", ec.message());
  handlers_.on_store_status();
}

void StoreSync::SetWatching(bool watching) {
  if (watching == watching_) return;
  watching_ = watching;
  LogEvent(LogLevel::kInfo, "store", watching ? "watching" : "not_watching")
      .Add("version", version_);
  // A pending watch request continues until the store responds.
  if (!watching_) return;
  if (!config_loop_.timer->pending()) config_loop_.timer->StartOnce(std::chrono::microseconds(0));
  if (!entries_loop_.timer->pending()) entries_loop_.timer->StartOnce(std::chrono::microseconds(0));
  if (!revision_timer_->pending()) revision_timer_->StartOnce(std::chrono::microseconds(0));
  if (reads_rollouts_ && !rollouts_loop_.timer->pending()) {
    rollouts_loop_.timer->StartOnce(std::chrono::microseconds(0));
  }
}

void StoreSync::OnRestored() {
  LogEvent(LogLevel::kWarn, "store", "restored")
      .Add("era", client_.era())
      .Add("version", version_)
      .Add("watching", watching_);
  store_revision_ = 0;
  restore_timer_->StartOnce(kRestoreGrace);
  RestartLoop(&config_loop_);
  RestartLoop(&entries_loop_);
  if (reads_rollouts_) RestartLoop(&rollouts_loop_);
  // A write under way gets a response of the new era, or fails and is repeated.
  if (entries_listed_ && !write_loop_.busy) WriteEntry();
  handlers_.on_store_restored();
}

void StoreSync::RestartLoop(SyncLoop* loop) {
  const bool watch_pending = loop->busy && loop->listed;
  if (watch_pending) {
    client_.Cancel(loop->watch);
    loop->busy = false;
  }
  loop->listed = false;
  loop->checked_revision = 0;
  loop->retry_delay = kMinRetryDelay;
  if (watching_ && !loop->busy) loop->timer->StartOnce(std::chrono::microseconds(0));
}

void StoreSync::OnPeerEra(int64_t era) {
  if (era <= std::max(client_.era(), newest_peer_era_)) return;
  newest_peer_era_ = era;
  if (entries_listed_) WriteEntry();
}

void StoreSync::CheckRevision() {
  if (!watching_ || checking_revision_) return;
  checking_revision_ = true;
  client_.ReadRevision(kEntryKind,
                       [this](std::error_code ec, int64_t revision) { OnRevision(ec, revision); });
}

void StoreSync::OnRevision(std::error_code ec, int64_t revision) {
  checking_revision_ = false;
  RecordStoreResponse(ec);
  revision_timer_->StartOnce(ec ? kMinRetryDelay : kRevisionCheckInterval);
  if (ec) {
    revision_check_failed_ = true;
    return;
  }
  store_revision_ = revision;
  if (std::exchange(revision_check_failed_, false)) {
    // The watches that were opened before may wait for responses that are lost.
    RenewWatch(&config_loop_, platform::kConfigKind);
    RenewWatch(&entries_loop_, kEntryKind);
    RenewWatch(&rollouts_loop_, platform::kRolloutKind);
  } else {
    report_timer_->StartOnce(kWatchReportTimeout);
  }
}

void StoreSync::RenewStalledWatches() {
  const auto stalled = [this](const SyncLoop& loop) {
    return loop.listed && std::max(loop.as_of, loop.checked_revision) < store_revision_;
  };
  if (stalled(config_loop_)) RenewWatch(&config_loop_, platform::kConfigKind);
  if (stalled(entries_loop_)) RenewWatch(&entries_loop_, kEntryKind);
}

// Objects of another kind also raise the revision, so that a renewed watch may have nothing to
// report. It is not renewed again for the same revision.
void StoreSync::RenewWatch(SyncLoop* loop, const char* kind) {
  if (!watching_ || !loop->busy || !loop->listed) return;
  LogEvent(LogLevel::kInfo, "store", "watch_renewed")
      .Add("kind", kind)
      .Add("as_of", loop->as_of)
      .Add("store_revision", store_revision_);
  client_.Cancel(loop->watch);
  loop->busy = false;
  loop->checked_revision = store_revision_;
  loop->timer->StartOnce(std::chrono::microseconds(0));
}

void StoreSync::ScheduleRetry(SyncLoop* loop, const char* call_name, std::error_code ec) {
  if (loop->complete && !watching_) return;
  LogEvent(LogLevel::kDebug, "store", "call_failed")
      .Add("call", call_name)
      .Add("error", ec.message())
      .Add("retry_ms", loop->retry_delay.count());
  loop->timer->StartOnce(loop->retry_delay);
  loop->retry_delay = std::min(loop->retry_delay * 2, kMaxRetryDelay);
}

void StoreSync::ReadConfig() {
  if (config_loop_.busy) return;
  config_loop_.busy = true;
  client_.List(platform::kConfigKind, platform::ObjectClient::Freshness::kLatest,
               [this](std::error_code ec, const platform::ObjectList& list) {
                 config_loop_.busy = false;
                 RecordStoreResponse(ec);
                 if (ec) return ScheduleRetry(&config_loop_, "read_config", ec);
                 for (const platform::StoredObject& it : list.objects) ApplyConfig(it);
                 config_loop_.as_of = list.as_of;
                 config_loop_.listed = true;
                 config_loop_.complete = true;
                 config_loop_.retry_delay = kMinRetryDelay;
                 WatchConfig();
               });
}

void StoreSync::WatchConfig() {
  if (config_loop_.busy || !watching_) return;
  config_loop_.busy = true;
  config_loop_.watch =
      client_.Watch(platform::kConfigKind, config_loop_.as_of, kWatchTimeout,
                    [this](std::error_code ec, const platform::ObjectChanges& changes) {
                      config_loop_.busy = false;
                      RecordStoreResponse(ec);
                      if (ec) {
                        // The next list includes the changes that were missed.
                        config_loop_.listed = false;
                        if (ec == Errc::kNotFound) return ReadConfig();
                        return ScheduleRetry(&config_loop_, "watch_config", ec);
                      }
                      for (const auto& it : changes.changes) {
                        if (!it.deleted) ApplyConfig(it.object);
                      }
                      config_loop_.as_of = changes.as_of;
                      config_loop_.retry_delay = kMinRetryDelay;
                      config_loop_.timer->StartOnce(kConfigWatchInterval);
                    });
}

void StoreSync::ApplyConfig(const platform::StoredObject& object) {
  if (object.name == platform::kConfigName) ApplyConfigSpec(object.spec, "store");
}

void StoreSync::ApplyConfigSpec(const json& spec, const char* source) {
  Findings findings;
  std::shared_ptr<const MeshConfig> config = platform::DecodeConfig(spec, &findings);
  if (config == nullptr) {
    LogEvent(LogLevel::kError, "config", "rejected")
        .Add("source", source)
        .Add("in_force", version_)
        .Add("findings", findings.ToString());
    return;
  }
  if (config->version() <= version_) return;
  LogEvent(LogLevel::kInfo, "config", "applied")
      .Add("version", config->version())
      .Add("before", version_)
      .Add("source", source)
      .Add("routes", config->routes().size());
  version_ = config->version();
  config_spec_ = spec;
  handlers_.on_config(std::move(config));
}

void StoreSync::OnPeerConfig(const std::string& text) {
  const json spec = json::parse(text, nullptr, false);
  if (spec.is_discarded()) {
    LogEvent(LogLevel::kWarn, "config", "unreadable_from_peer").Add("bytes", text.size());
    return;
  }
  ApplyConfigSpec(spec, "peer");
}

std::string StoreSync::config_text() const {
  if (config_spec_.is_null()) return {};
  return config_spec_.dump(-1, ' ', false, json::error_handler_t::replace);
}

void StoreSync::OnPeerVersion(uint64_t version) {
  if (version <= version_) return;
  newest_peer_version_ = std::max(newest_peer_version_, version);
  if (version_timer_->pending() || reading_version_) return;
  if (watching_) return version_timer_->StartOnce(kVersionWatchTimeout);
  const auto spent = steady_clock::now() - version_read_at_;
  version_timer_->StartOnce(std::chrono::duration_cast<std::chrono::microseconds>(
      std::max<steady_clock::duration>(kMinVersionReadInterval - spent, {})));
}

void StoreSync::CheckVersion() {
  if (newest_peer_version_ <= version_ || reading_version_) return;
  LogEvent(LogLevel::kInfo, "config", "newer_version_seen")
      .Add("in_force", version_)
      .Add("seen", newest_peer_version_)
      .Add("watching", watching_);
  // A call to a store that does not respond takes longer than the transfer.
  if (store_lost_) handlers_.request_config(version_);
  ReadVersion(platform::ObjectClient::Freshness::kRecent);
}

void StoreSync::ReadVersion(platform::ObjectClient::Freshness freshness) {
  using Freshness = platform::ObjectClient::Freshness;
  reading_version_ = true;
  version_read_at_ = steady_clock::now();
  client_.List(platform::kConfigKind, freshness,
               [this, freshness](std::error_code ec, const platform::ObjectList& list) {
                 reading_version_ = false;
                 RecordStoreResponse(ec);
                 for (const platform::StoredObject& it : list.objects) ApplyConfig(it);
                 if (ec && newest_peer_version_ > version_) handlers_.request_config(version_);
                 if (newest_peer_version_ <= version_) {
                   version_retry_delay_ = kMinRetryDelay;
                 } else if (!ec && freshness == Freshness::kRecent) {
                   ReadVersion(Freshness::kLatest);
                 } else {
                   version_timer_->StartOnce(version_retry_delay_);
                   version_retry_delay_ = std::min(version_retry_delay_ * 2, kMaxRetryDelay);
                 }
               });
}

void StoreSync::ReadEntries() {
  if (entries_loop_.busy) return;
  entries_loop_.busy = true;
  const bool own_entry_written = entry_written_;
  const auto done = [this, own_entry_written](std::error_code ec,
                                              const platform::ObjectList& list) {
    entries_loop_.busy = false;
    RecordStoreResponse(ec);
    // The store may not know a kind that has no objects.
    if (ec && ec != Errc::kNotFound) return ScheduleRetry(&entries_loop_, "read_entries", ec);
    ApplyEntries(list);
    const bool was_complete = entries_loop_.complete;
    entries_loop_.complete = was_complete || own_entry_written;
    if (entries_loop_.complete && !was_complete) handlers_.on_entries_complete();
    WatchEntries();
  };
  client_.List(kEntryKind, platform::ObjectClient::Freshness::kLatest, done);
}

void StoreSync::ApplyEntries(const platform::ObjectList& list) {
  std::set<std::string> nodes;
  // Newest revision of an entry that names a sidecar as lost. A process that is started writes its
  // own entry, so that older ones say nothing about it.
  std::map<std::string, int64_t> lost;
  for (const platform::StoredObject& it : list.objects) {
    const std::optional<SidecarEntry> entry = DecodeEntry(it.name, it.spec);
    if (!entry || it.name == own_entry_.node) continue;
    for (const std::string& node : entry->lost) lost[node] = std::max(lost[node], it.revision);
  }
  for (const platform::StoredObject& it : list.objects) {
    nodes.insert(it.name);
    if (it.name != own_entry_.node) {
      const auto lost_at = lost.find(it.name);
      ApplyEntry(it, lost_at != lost.end() && lost_at->second > it.revision);
      continue;
    }
    const std::optional<SidecarEntry> entry = DecodeEntry(it.name, it.spec);
    if (!entries_listed_ && entry) handlers_.on_own_entry(*entry);
  }
  entry_exists_ = nodes.count(own_entry_.node) != 0;
  entries_listed_ = true;
  entries_loop_.as_of = list.as_of;
  entries_loop_.listed = true;
  entries_loop_.retry_delay = kMinRetryDelay;
  if (!entry_exists_ || !entry_written_) WriteEntry();
  if (watching_ && !restore_timer_->pending()) handlers_.on_entries_listed(nodes);
}

void StoreSync::WatchEntries() {
  if (entries_loop_.busy || !watching_) return;
  entries_loop_.busy = true;
  entries_loop_.watch =
      client_.Watch(kEntryKind, entries_loop_.as_of, kWatchTimeout,
                    [this](std::error_code ec, const platform::ObjectChanges& changes) {
                      entries_loop_.busy = false;
                      RecordStoreResponse(ec);
                      if (ec) {
                        entries_loop_.listed = false;
                        if (ec == Errc::kNotFound) return ReadEntries();
                        return ScheduleRetry(&entries_loop_, "watch_entries", ec);
                      }
                      for (const auto& it : changes.changes) {
                        if (it.object.name == own_entry_.node) {
                          entry_exists_ = !it.deleted;
                          if (it.deleted) WriteEntry();
                        } else if (it.deleted) {
                          handlers_.on_entry_removed(it.object.name);
                        } else {
                          ApplyEntry(it.object, false);
                        }
                      }
                      entries_loop_.as_of = changes.as_of;
                      entries_loop_.retry_delay = kMinRetryDelay;
                      entries_loop_.timer->StartOnce(kEntryWatchInterval);
                    });
}

void StoreSync::AddRollout(const platform::StoredObject& object,
                           std::vector<RolloutRecord>* records) const {
  Findings findings;
  std::optional<RolloutRecord> record = platform::DecodeRollout(object, client_.era(), &findings);
  if (record) return records->push_back(std::move(*record));
  LogEvent(LogLevel::kError, "rollout", "order_rejected")
      .Add("name", object.name)
      .Add("findings", findings.ToString());
}

void StoreSync::ReadRollouts() {
  if (rollouts_loop_.busy || !watching_) return;
  rollouts_loop_.busy = true;
  client_.List(platform::kRolloutKind, platform::ObjectClient::Freshness::kLatest,
               [this](std::error_code ec, const platform::ObjectList& list) {
                 rollouts_loop_.busy = false;
                 RecordStoreResponse(ec);
                 // The store may not know a kind that has no objects. Its revision is the same for
                 // all kinds, so that the watch can continue from that of the configuration.
                 const bool unknown_kind = ec == Errc::kNotFound && config_loop_.as_of > 0;
                 if (ec && !unknown_kind) {
                   return ScheduleRetry(&rollouts_loop_, "read_rollouts", ec);
                 }
                 rollouts_loop_.as_of = ec ? config_loop_.as_of : list.as_of;
                 rollouts_loop_.listed = true;
                 rollouts_loop_.retry_delay = kMinRetryDelay;
                 std::vector<RolloutRecord> records;
                 for (const platform::StoredObject& it : list.objects) AddRollout(it, &records);
                 handlers_.on_rollouts_listed(client_.era(), rollouts_loop_.as_of, records);
                 WatchRollouts();
               });
}

void StoreSync::WatchRollouts() {
  if (rollouts_loop_.busy || !watching_) return;
  rollouts_loop_.busy = true;
  rollouts_loop_.watch =
      client_.Watch(platform::kRolloutKind, rollouts_loop_.as_of, kWatchTimeout,
                    [this](std::error_code ec, const platform::ObjectChanges& changes) {
                      rollouts_loop_.busy = false;
                      RecordStoreResponse(ec);
                      if (ec) {
                        rollouts_loop_.listed = false;
                        return ScheduleRetry(&rollouts_loop_, "watch_rollouts", ec);
                      }
                      std::vector<RolloutRecord> records;
                      for (const auto& it : changes.changes) {
                        const size_t before = records.size();
                        AddRollout(it.object, &records);
                        if (records.size() > before) records.back().deleted = it.deleted;
                      }
                      rollouts_loop_.as_of = changes.as_of;
                      rollouts_loop_.retry_delay = kMinRetryDelay;
                      rollouts_loop_.timer->StartOnce(kRolloutWatchInterval);
                      if (!records.empty()) handlers_.on_rollouts(records);
                    });
}

void StoreSync::WriteRolloutStatus(const RolloutRecord& record, RolloutState state,
                                   std::function<void(std::error_code)> callback) {
  client_.WriteStatus(platform::kRolloutKind, record.order.service, record.revision,
                      platform::EncodeRolloutStatus(state, record.order.target_version),
                      [this, record, state, callback = std::move(callback)](
                          std::error_code ec, const platform::StoredObject& object) {
                        RecordStoreResponse(ec);
                        std::vector<RolloutRecord> records;
                        if (!ec) {
                          records.push_back(record);
                          records.back().state = state;
                          records.back().revision = std::max(object.revision, record.revision + 1);
                        } else if (ec == Errc::kConflict && !object.name.empty()) {
                          AddRollout(object, &records);
                        }
                        if (!records.empty()) handlers_.on_rollouts(records);
                        callback(ec);
                      });
}

void StoreSync::RestoreEntry() {
  if (!joined() || write_loop_.busy) return;
  if (steady_clock::now() - entry_written_at_ < kMinEntryRewriteInterval) return;
  LogEvent(LogLevel::kInfo, "store", "entry_restored").Add("node", own_entry_.node);
  entry_exists_ = false;
  WriteEntry();
}

void StoreSync::ApplyEntry(const platform::StoredObject& object, bool is_lost) {
  std::optional<SidecarEntry> entry = DecodeEntry(object.name, object.spec);
  if (entry) {
    entry->is_lost = is_lost;
    return handlers_.on_entry(*entry);
  }
  LogEvent(LogLevel::kWarn, "store", "entry_ignored")
      .Add("name", object.name)
      .Add("revision", object.revision);
}

void StoreSync::SetDepartures(std::vector<UpstreamDeparture> departures) {
  if (own_entry_.departures == departures) return;
  own_entry_.departures = std::move(departures);
  if (entries_listed_) WriteEntry();
}

void StoreSync::SetLost(std::set<std::string> nodes) {
  const auto now = steady_clock::now();
  if (own_entry_.lost == nodes || !joined() || now < lost_written_at_ + kMinLostWriteInterval) {
    return;
  }
  lost_written_at_ = now;
  own_entry_.lost = std::move(nodes);
  WriteEntry();
}

void StoreSync::WriteStopped(std::function<void()> on_written) {
  own_entry_.stopped = true;
  on_stopped_written_ = std::move(on_written);
  if (entries_listed_) WriteEntry();
}

void StoreSync::WriteEntry() {
  if (write_loop_.busy) {
    write_again_ = true;
    return;
  }
  write_loop_.busy = true;
  const auto done = [this](std::error_code ec, const platform::StoredObject&) { OnWritten(ec); };
  if (entry_exists_) {
    client_.Replace(kEntryKind, own_entry_.node, EncodeEntry(own_entry_), done);
  } else {
    client_.Create(kEntryKind, own_entry_.node, EncodeEntry(own_entry_), done);
  }
}

void StoreSync::OnWritten(std::error_code ec) {
  write_loop_.busy = false;
  RecordStoreResponse(ec);
  if (ec == Errc::kConflict || ec == Errc::kNotFound) {
    entry_exists_ = ec == Errc::kConflict;
    return ScheduleRetry(&write_loop_, "write_entry", ec);
  }
  if (ec) return ScheduleRetry(&write_loop_, "write_entry", ec);
  entry_exists_ = true;
  entry_written_ = true;
  entry_written_at_ = steady_clock::now();
  if (!entries_loop_.complete) ReadEntries();
  write_loop_.retry_delay = kMinRetryDelay;
  if (std::exchange(write_again_, false)) return WriteEntry();
  if (on_stopped_written_) on_stopped_written_();
}

}  // namespace camphorhoist
