#include "libsidecar/store_sync.h"

#include <algorithm>
#include <utility>

#include "camphorhoist/error.h"
#include "libbase/log.h"
#include "platform/config_codec.h"

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
  return {{"address", entry.address},
          {"data_centre", entry.data_centre},
          {"departures", std::move(departures)}};
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
    : handlers_(std::move(handlers)), client_(base, settings.store) {
  own_.node = settings.node;
  own_.address = settings.peer_listen.ToString();
  own_.data_centre = settings.data_centre;
  config_.timer =
      std::make_unique<Timer>(base, [this] { config_.listed ? WatchConfig() : ReadConfig(); });
  entries_.timer =
      std::make_unique<Timer>(base, [this] { entries_.listed ? WatchEntries() : ReadEntries(); });
  write_.timer = std::make_unique<Timer>(base, [this] { WriteEntry(); });
  version_timer_ = std::make_unique<Timer>(base, [this] { CheckVersion(); });
}

void StoreSync::Start() {
  ReadConfig();
  ReadEntries();
}

void StoreSync::NoteContact(std::error_code ec) {
  const bool answered = !ec || ec == Errc::kNotFound || ec == Errc::kConflict;
  if (answered) last_contact_ = steady_clock::now();
  if (answered != store_down_) return;
  store_down_ = !answered;
  LogEvent(answered ? LogLevel::kInfo : LogLevel::kWarn, "store", answered ? "regained" : "lost")
      .Add("error", ec.message());
  handlers_.on_contact();
}

void StoreSync::SetWatching(bool watching) {
  if (watching == watching_) return;
  watching_ = watching;
  LogEvent(LogLevel::kInfo, "store", watching ? "watching" : "not_watching")
      .Add("version", version_);
  // A watch that is under way goes on until it is answered.
  if (!watching_) return;
  if (!config_.timer->pending()) config_.timer->StartOnce(std::chrono::microseconds(0));
  if (!entries_.timer->pending()) entries_.timer->StartOnce(std::chrono::microseconds(0));
}

void StoreSync::Retry(Follower* follower, const char* what, std::error_code ec) {
  if (follower->complete && !watching_) return;
  LogEvent(LogLevel::kDebug, "store", "call_failed")
      .Add("call", what)
      .Add("error", ec.message())
      .Add("retry_ms", follower->retry.count());
  follower->timer->StartOnce(follower->retry);
  follower->retry = std::min(follower->retry * 2, kMaxRetry);
}

void StoreSync::ReadConfig() {
  if (config_.busy) return;
  config_.busy = true;
  client_.List(platform::kConfigKind, platform::ObjectClient::Freshness::kLatest,
               [this](std::error_code ec, const platform::ObjectList& list) {
                 config_.busy = false;
                 NoteContact(ec);
                 if (ec) return Retry(&config_, "read_config", ec);
                 for (const platform::StoredObject& it : list.objects) TakeConfig(it);
                 config_.as_of = list.as_of;
                 config_.listed = true;
                 config_.complete = true;
                 config_.retry = kMinRetry;
                 WatchConfig();
               });
}

void StoreSync::WatchConfig() {
  if (config_.busy || !watching_) return;
  config_.busy = true;
  client_.Watch(platform::kConfigKind, config_.as_of, kWatchWait,
                [this](std::error_code ec, const platform::ObjectChanges& changes) {
                  config_.busy = false;
                  NoteContact(ec);
                  if (ec) {
                    // Whatever was missed is in the next list.
                    config_.listed = false;
                    if (ec == Errc::kNotFound) return ReadConfig();
                    return Retry(&config_, "watch_config", ec);
                  }
                  for (const auto& it : changes.changes) {
                    if (!it.deleted) TakeConfig(it.object);
                  }
                  config_.as_of = changes.as_of;
                  config_.retry = kMinRetry;
                  config_.timer->StartOnce(kConfigWatchSpacing);
                });
}

void StoreSync::TakeConfig(const platform::StoredObject& object) {
  if (object.name != platform::kConfigName) return;
  Findings findings;
  std::shared_ptr<const MeshConfig> config = platform::DecodeConfig(object.spec, &findings);
  if (config == nullptr) {
    LogEvent(LogLevel::kError, "config", "rejected")
        .Add("revision", object.revision)
        .Add("in_force", version_)
        .Add("findings", findings.ToString());
    return;
  }
  if (config->version() <= version_) return;
  LogEvent(LogLevel::kInfo, "config", "applied")
      .Add("version", config->version())
      .Add("before", version_)
      .Add("routes", config->routes().size());
  version_ = config->version();
  handlers_.on_config(std::move(config));
}

void StoreSync::OnVersionSeen(uint64_t version) {
  if (version <= version_) return;
  seen_version_ = std::max(seen_version_, version);
  if (version_timer_->pending() || reading_version_) return;
  if (watching_) return version_timer_->StartOnce(kVersionPatience);
  const auto spent = steady_clock::now() - version_read_;
  version_timer_->StartOnce(std::chrono::duration_cast<std::chrono::microseconds>(
      std::max<steady_clock::duration>(kVersionReadSpacing - spent, {})));
}

void StoreSync::CheckVersion() {
  if (seen_version_ <= version_ || reading_version_) return;
  LogEvent(LogLevel::kInfo, "config", "newer_version_seen")
      .Add("in_force", version_)
      .Add("seen", seen_version_)
      .Add("watching", watching_);
  ReadVersion(platform::ObjectClient::Freshness::kRecent);
}

void StoreSync::ReadVersion(platform::ObjectClient::Freshness freshness) {
  using Freshness = platform::ObjectClient::Freshness;
  reading_version_ = true;
  version_read_ = steady_clock::now();
  client_.List(platform::kConfigKind, freshness,
               [this, freshness](std::error_code ec, const platform::ObjectList& list) {
                 reading_version_ = false;
                 NoteContact(ec);
                 for (const platform::StoredObject& it : list.objects) TakeConfig(it);
                 if (seen_version_ <= version_) {
                   version_retry_ = kMinRetry;
                 } else if (!ec && freshness == Freshness::kRecent) {
                   ReadVersion(Freshness::kLatest);
                 } else {
                   version_timer_->StartOnce(version_retry_);
                   version_retry_ = std::min(version_retry_ * 2, kMaxRetry);
                 }
               });
}

void StoreSync::ReadEntries() {
  if (entries_.busy) return;
  entries_.busy = true;
  const bool own_entry_written = written_;
  const auto done = [this, own_entry_written](std::error_code ec,
                                              const platform::ObjectList& list) {
    entries_.busy = false;
    NoteContact(ec);
    // A kind without objects may be unknown to the store.
    if (ec && ec != Errc::kNotFound) return Retry(&entries_, "read_entries", ec);
    TakeEntries(list);
    entries_.complete = entries_.complete || own_entry_written;
    WatchEntries();
  };
  client_.List(kEntryKind, platform::ObjectClient::Freshness::kLatest, done);
}

void StoreSync::TakeEntries(const platform::ObjectList& list) {
  std::set<std::string> nodes;
  for (const platform::StoredObject& it : list.objects) {
    nodes.insert(it.name);
    if (it.name != own_.node) {
      TakeEntry(it);
      continue;
    }
    const std::optional<SidecarEntry> entry = DecodeEntry(it.name, it.spec);
    if (!listed_ && entry) handlers_.on_own_entry(*entry);
  }
  exists_ = nodes.count(own_.node) != 0;
  listed_ = true;
  entries_.as_of = list.as_of;
  entries_.listed = true;
  entries_.retry = kMinRetry;
  if (!exists_ || !written_) WriteEntry();
  if (watching_) handlers_.on_listed(nodes);
}

void StoreSync::WatchEntries() {
  if (entries_.busy || !watching_) return;
  entries_.busy = true;
  client_.Watch(kEntryKind, entries_.as_of, kWatchWait,
                [this](std::error_code ec, const platform::ObjectChanges& changes) {
                  entries_.busy = false;
                  NoteContact(ec);
                  if (ec) {
                    entries_.listed = false;
                    if (ec == Errc::kNotFound) return ReadEntries();
                    return Retry(&entries_, "watch_entries", ec);
                  }
                  for (const auto& it : changes.changes) {
                    if (it.object.name == own_.node) {
                      exists_ = !it.deleted;
                      if (it.deleted) WriteEntry();
                    } else if (it.deleted) {
                      handlers_.on_entry_gone(it.object.name);
                    } else {
                      TakeEntry(it.object);
                    }
                  }
                  entries_.as_of = changes.as_of;
                  entries_.retry = kMinRetry;
                  entries_.timer->StartOnce(kEntryWatchSpacing);
                });
}

void StoreSync::RestoreEntry() {
  if (!joined() || write_.busy) return;
  if (steady_clock::now() - entry_written_ < kEntryRewriteSpacing) return;
  LogEvent(LogLevel::kInfo, "store", "entry_restored").Add("node", own_.node);
  exists_ = false;
  WriteEntry();
}

void StoreSync::TakeEntry(const platform::StoredObject& object) {
  const std::optional<SidecarEntry> entry = DecodeEntry(object.name, object.spec);
  if (entry) return handlers_.on_entry(*entry);
  LogEvent(LogLevel::kWarn, "store", "entry_ignored")
      .Add("name", object.name)
      .Add("revision", object.revision);
}

void StoreSync::SetDepartures(std::vector<UpstreamDeparture> departures) {
  if (own_.departures == departures) return;
  own_.departures = std::move(departures);
  if (listed_) WriteEntry();
}

void StoreSync::WriteEntry() {
  if (write_.busy) {
    write_again_ = true;
    return;
  }
  write_.busy = true;
  const auto done = [this](std::error_code ec, const platform::StoredObject&) { OnWritten(ec); };
  if (exists_) {
    client_.Replace(kEntryKind, own_.node, EncodeEntry(own_), done);
  } else {
    client_.Create(kEntryKind, own_.node, EncodeEntry(own_), done);
  }
}

void StoreSync::OnWritten(std::error_code ec) {
  write_.busy = false;
  NoteContact(ec);
  if (ec == Errc::kConflict || ec == Errc::kNotFound) {
    exists_ = ec == Errc::kConflict;
    return Retry(&write_, "write_entry", ec);
  }
  if (ec) return Retry(&write_, "write_entry", ec);
  exists_ = true;
  written_ = true;
  entry_written_ = steady_clock::now();
  if (!entries_.complete) ReadEntries();
  write_.retry = kMinRetry;
  if (std::exchange(write_again_, false)) WriteEntry();
}

}  // namespace camphorhoist
