#include "libupstream/announcement_codec.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>

namespace camphorhoist {

namespace {

using nlohmann::json;

constexpr UpstreamState kStates[] = {UpstreamState::kWarming, UpstreamState::kServing,
                                     UpstreamState::kDraining};

/// Reads typed fields of one JSON object and adds a finding for each missing or invalid field.
class FieldReader {
 public:
  FieldReader(const std::string& text, Findings* findings)
      : object_(json::parse(text, nullptr, /*allow_exceptions=*/false)), findings_(findings) {
    if (object_.is_object()) return;
    findings_->Add("body", object_.is_discarded() ? "is not JSON" : "is not a JSON object");
    object_ = nullptr;
  }

  std::string String(const char* name) {
    const json* value = FindRequired(name);
    if (value == nullptr) return {};
    if (!value->is_string()) {
      findings_->Add(name, "is not a string");
      return {};
    }
    std::string text = value->get<std::string>();
    if (text.empty() || text.size() > kMaxNameLength) {
      findings_->Add(name, "is not 1 to 128 characters long");
    }
    return text;
  }

  std::string Name(const char* name) {
    std::string text = String(name);
    const bool valid = std::all_of(text.begin(), text.end(), [](char c) {
      return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
    });
    if (!valid) findings_->Add(name, "has characters other than [a-z0-9._-]");
    return text;
  }

  NetAddress Address(const char* name) {
    const std::string text = String(name);
    if (text.empty()) return {};
    const std::optional<NetAddress> address = NetAddress::Parse(text);
    if (!address || address->port() == 0) {
      findings_->Add(name, "is not ip:port with a port of 1 to 65535");
      return {};
    }
    return *address;
  }

  int64_t Integer(const char* name, int64_t least, int64_t most) {
    const json* value = FindRequired(name);
    if (value == nullptr) return 0;
    // An unsigned number above INT64_MAX would wrap around.
    const bool fits = value->is_number_integer() &&
                      (!value->is_number_unsigned() || value->get<uint64_t>() <= INT64_MAX);
    if (!fits || value->get<int64_t>() < least || value->get<int64_t>() > most) {
      findings_->Add(
          name, "is not an integer of " + std::to_string(least) + " to " + std::to_string(most));
      return 0;
    }
    return value->get<int64_t>();
  }

  bool Boolean(const char* name) {
    const json* value = FindRequired(name);
    if (value == nullptr) return false;
    if (!value->is_boolean()) {
      findings_->Add(name, "is not true or false");
      return false;
    }
    return value->get<bool>();
  }

  double NonNegativeNumber(const char* name) {
    const json* value = FindRequired(name);
    if (value == nullptr) return 0;
    if (!value->is_number() || !std::isfinite(value->get<double>()) || value->get<double>() < 0) {
      findings_->Add(name, "is not a number of 0 or above");
      return 0;
    }
    return value->get<double>();
  }

  UpstreamState State(const char* name) {
    const std::string text = String(name);
    if (text.empty()) return UpstreamState::kServing;
    for (UpstreamState it : kStates) {
      if (text == ToString(it)) return it;
    }
    findings_->Add(name, "is not one of warming, serving, draining");
    return UpstreamState::kServing;
  }

  bool Has(const char* name) const { return object_.is_object() && object_.contains(name); }

 private:
  const json* FindRequired(const char* name) {
    if (!object_.is_object()) return nullptr;
    const auto it = object_.find(name);
    if (it != object_.end()) return &*it;
    findings_->Add(name, "is missing");
    return nullptr;
  }

  json object_;
  Findings* findings_;
};

}  // namespace

Announcement ParseAnnouncement(const std::string& text, Findings* findings) {
  FieldReader reader(text, findings);
  Announcement announcement;
  announcement.service = reader.Name("service");
  announcement.address = reader.Address("address");
  announcement.slots = static_cast<int>(reader.Integer("slots", 1, kMaxSlots));
  announcement.connections = static_cast<int>(reader.Integer("connections", 1, kMaxConnections));
  announcement.state = reader.State("state");
  announcement.instance = reader.String("instance");
  announcement.accepts_cancel = reader.Boolean("accepts_cancel");
  return announcement;
}

UpstreamLoad ParseLoad(const std::string& text, Findings* findings) {
  FieldReader reader(text, findings);
  UpstreamLoad load;
  load.address = reader.Address("address");
  load.instance = reader.String("instance");
  load.load = reader.NonNegativeNumber("load");
  if (reader.Has("running")) load.running = reader.Integer("running", 0, kMaxConnections);
  if (reader.Has("queued")) load.queued = reader.Integer("queued", 0, kMaxConnections);
  return load;
}

Announcement ParseLeave(const std::string& text, Findings* findings) {
  FieldReader reader(text, findings);
  Announcement announcement;
  announcement.address = reader.Address("address");
  announcement.instance = reader.String("instance");
  return announcement;
}

std::string FormatAnnouncement(const Announcement& announcement) {
  return json{{"service", announcement.service},
              {"address", announcement.address.ToString()},
              {"slots", announcement.slots},
              {"connections", announcement.connections},
              {"state", ToString(announcement.state)},
              {"instance", announcement.instance},
              {"accepts_cancel", announcement.accepts_cancel}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace camphorhoist
