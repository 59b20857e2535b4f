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
}

void StoreSync::Retry(Follower* follower, const char* what, std::error_code ec) {
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
  client_.List(platform::kConfigKind, [this](std::error_code ec, const platform::ObjectList& list) {
    config_.busy = false;
    NoteContact(ec);
    if (ec) return Retry(&config_, "read_config", ec);
    for (const platform::StoredObject& it : list.objects) TakeConfig(it);
    config_.as_of = list.as_of;
    config_.listed = true;
    config_.retry = kMinRetry;
    WatchConfig();
  });
}

void StoreSync::WatchConfig() {
  if (config_.busy) return;
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
  if (version <= version_ || version_timer_->pending()) return;
  seen_version_ = version;
  version_timer_->StartOnce(kVersionPatience);
}

void StoreSync::CheckVersion() {
  if (seen_version_ <= version_) return;
  LogEvent(LogLevel::kWarn, "config", "watch_behind")
      .Add("in_force", version_)
      .Add("seen", seen_version_);
  client_.List(platform::kConfigKind, [this](std::error_code ec, const platform::ObjectList& list) {
    NoteContact(ec);
    for (const platform::StoredObject& it : list.objects) TakeConfig(it);
    if (seen_version_ > version_) version_timer_->StartOnce(kVersionPatience);
  });
}

void StoreSync::ReadEntries() {
  if (entries_.busy) return;
  entries_.busy = true;
  client_.List(kEntryKind, [this](std::error_code ec, const platform::ObjectList& list) {
    entries_.busy = false;
    NoteContact(ec);
    // A kind without objects may be unknown to the store.
    if (ec && ec != Errc::kNotFound) return Retry(&entries_, "read_entries", ec);
    bool own_seen = false;
    for (const platform::StoredObject& it : list.objects) {
      if (it.name == own_.node) {
        own_seen = true;
        const std::optional<SidecarEntry> entry = DecodeEntry(it.name, it.spec);
        if (!listed_ && entry) handlers_.on_own_entry(*entry);
      } else {
        TakeEntry(it);
      }
    }
    exists_ = own_seen;
    listed_ = true;
    entries_.as_of = list.as_of;
    entries_.listed = true;
    entries_.retry = kMinRetry;
    if (!own_seen || !written_) WriteEntry();
    WatchEntries();
  });
}

void StoreSync::WatchEntries() {
  if (entries_.busy) return;
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
  write_.retry = kMinRetry;
  if (std::exchange(write_again_, false)) WriteEntry();
}

}  // namespace camphorhoist
