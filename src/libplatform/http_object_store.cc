#include "libplatform/http_object_store.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "camphorhoist/error.h"
#include "libplatform/object_key.h"

namespace camphorhoist {

namespace {

enum class Effect { kRead, kWrite };

bool IsValidKey(const std::string& key) { return !key.empty() && key.size() <= kMaxObjectKeyBytes; }

std::string ObjectTarget(const std::string& key) { return "/objects/" + PercentEncode(key, true); }

// A read has no effect on the platform, so that a read without an answer is only unavailable.
std::error_code NoAnswer(Effect effect) {
  return effect == Effect::kRead ? Errc::kUnavailable : Errc::kUnknownEffect;
}

// 429 and 503 are refusals before any effect. Any other unexpected answer says nothing about the
// effect of a write.
std::error_code Classify(const HttpResponse& response, Effect effect) {
  if (response.error == Errc::kUnavailable) return Errc::kUnavailable;
  if (response.error) return NoAnswer(effect);
  switch (response.status) {
    case 200:
    case 201:
    case 204:
    case 304:
      return {};
    case 400:
    case 413:
    case 428:
      return Errc::kInvalidInput;
    case 404:
      return Errc::kNotFound;
    case 412:
      return Errc::kConflict;
    case 429:
    case 503:
      return Errc::kUnavailable;
    default:
      return NoAnswer(effect);
  }
}

std::optional<ObjectVersion> VersionOf(const HttpResponse& response) {
  return ParseUnsigned(response.Header(kObjectVersionHeader));
}

GetResult ToGetResult(HttpResponse response) {
  GetResult result;
  result.error = Classify(response, Effect::kRead);
  if (result.error) return result;
  const auto version = VersionOf(response);
  if (response.status != 200 || !version) {
    result.error = Errc::kUnavailable;
    return result;
  }
  result.version = *version;
  result.body = std::move(response.body);
  return result;
}

PutResult ToPutResult(const HttpResponse& response) {
  PutResult result;
  result.error = Classify(response, Effect::kWrite);
  if (result.error && result.error != Errc::kConflict) return result;
  const auto version = VersionOf(response);
  if (version) {
    result.version = *version;
  } else if (!result.error) {
    result.error = Errc::kUnknownEffect;
  }
  return result;
}

WatchResult ToWatchResult(HttpResponse response) {
  WatchResult result;
  result.error = Classify(response, Effect::kRead);
  if (result.error || response.status == 304) return result;
  GetResult object = ToGetResult(std::move(response));
  result.error = object.error;
  result.changed = !object.error;
  result.version = object.version;
  result.body = std::move(object.body);
  return result;
}

bool ReadEntry(const nlohmann::json& item, ObjectEntry* entry) {
  if (!item.is_object()) return false;
  const auto key = item.find("key");
  const auto version = item.find("version");
  if (key == item.end() || !key->is_string()) return false;
  if (version == item.end() || !version->is_number_unsigned()) return false;
  entry->key = key->get<std::string>();
  entry->version = version->get<ObjectVersion>();
  return true;
}

bool ReadEntries(const std::string& body, std::vector<ObjectEntry>* entries) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("objects") || !json["objects"].is_array()) return false;
  for (const auto& it : json["objects"]) {
    ObjectEntry entry;
    if (!ReadEntry(it, &entry)) return false;
    entries->push_back(std::move(entry));
  }
  return true;
}

ListResult ToListResult(const HttpResponse& response) {
  ListResult result;
  result.error = Classify(response, Effect::kRead);
  if (result.error) return result;
  if (!ReadEntries(response.body, &result.entries)) {
    result.error = Errc::kUnavailable;
    result.entries.clear();
  }
  return result;
}

DeleteResult ToDeleteResult(const HttpResponse& response) {
  DeleteResult result;
  result.error = Classify(response, Effect::kWrite);
  if (result.error == Errc::kConflict) result.version = VersionOf(response).value_or(0);
  return result;
}

template <typename Result, typename Callback>
std::function<void()> Refusal(Callback callback) {
  return [callback = std::move(callback)] {
    Result result;
    result.error = Errc::kInvalidInput;
    callback(std::move(result));
  };
}

}  // namespace

HttpObjectStore::HttpObjectStore(event_base* base, NetAddress platform,
                                 std::chrono::milliseconds timeout)
    : platform_(std::move(platform)),
      timeout_(timeout),
      client_(base),
      deferred_(base, [](const std::function<void()>& call) { call(); }) {}

void HttpObjectStore::Get(const std::string& key, GetCallback callback) {
  if (!IsValidKey(key)) return deferred_.Post(Refusal<GetResult>(std::move(callback)));
  HttpRequest request;
  request.target = ObjectTarget(key);
  client_.Send(platform_, std::move(request), timeout_,
               [callback = std::move(callback)](HttpResponse response) {
                 callback(ToGetResult(std::move(response)));
               });
}

void HttpObjectStore::Put(const std::string& key, std::string body, ObjectVersion expected_version,
                          PutCallback callback) {
  if (!IsValidKey(key) || body.size() > kMaxObjectBytes) {
    return deferred_.Post(Refusal<PutResult>(std::move(callback)));
  }
  HttpRequest request;
  request.method = "PUT";
  request.target = ObjectTarget(key);
  request.headers.emplace_back("If-Match", std::to_string(expected_version));
  request.body = std::move(body);
  client_.Send(platform_, std::move(request), timeout_,
               [callback = std::move(callback)](const HttpResponse& response) {
                 callback(ToPutResult(response));
               });
}

void HttpObjectStore::Watch(const std::string& key, ObjectVersion after_version,
                            std::chrono::milliseconds timeout, WatchCallback callback) {
  if (!IsValidKey(key)) return deferred_.Post(Refusal<WatchResult>(std::move(callback)));
  HttpRequest request;
  request.target = "/watch/" + PercentEncode(key, true) +
                   "?after=" + std::to_string(after_version) +
                   "&timeout_ms=" + std::to_string(timeout.count());
  client_.Send(platform_, std::move(request), timeout + timeout_,
               [callback = std::move(callback)](HttpResponse response) {
                 callback(ToWatchResult(std::move(response)));
               });
}

void HttpObjectStore::List(const std::string& prefix, ListCallback callback) {
  HttpRequest request;
  request.target = "/objects?prefix=" + PercentEncode(prefix, false);
  client_.Send(platform_, std::move(request), timeout_,
               [callback = std::move(callback)](const HttpResponse& response) {
                 callback(ToListResult(response));
               });
}

void HttpObjectStore::Delete(const std::string& key, ObjectVersion expected_version,
                             DeleteCallback callback) {
  if (!IsValidKey(key)) return deferred_.Post(Refusal<DeleteResult>(std::move(callback)));
  HttpRequest request;
  request.method = "DELETE";
  request.target = ObjectTarget(key);
  request.headers.emplace_back("If-Match", std::to_string(expected_version));
  client_.Send(platform_, std::move(request), timeout_,
               [callback = std::move(callback)](const HttpResponse& response) {
                 callback(ToDeleteResult(response));
               });
}

}  // namespace camphorhoist
