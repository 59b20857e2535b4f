#include "libplatform/http_object_store.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "camphorhoist/error.h"
#include "libplatform/object_key.h"

namespace camphorhoist {

namespace {

enum class CallType { kRead, kWrite };

bool IsValidKey(const std::string& key) { return !key.empty() && key.size() <= kMaxObjectKeyBytes; }

std::string ObjectTarget(const std::string& key) { return "/objects/" + PercentEncode(key, true); }

// The error of a call that ended without a usable response. A write may have taken effect; a read
// has no effect, so that `kUnavailable` is enough.
std::error_code NoResponseError(CallType type) {
  return type == CallType::kRead ? Errc::kUnavailable : Errc::kUnknownEffect;
}

// With 429 and 503 the platform refuses a request before it has an effect. Any other unexpected
// status leaves open whether a write took effect.
std::error_code ResponseError(const HttpResponse& response, CallType type) {
  if (response.error == Errc::kUnavailable) return Errc::kUnavailable;
  if (response.error) return NoResponseError(type);
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
      return NoResponseError(type);
  }
}

std::optional<ObjectVersion> ParseVersionHeader(const HttpResponse& response) {
  return ParseUnsigned(response.Header(kObjectVersionHeader));
}

GetResult ToGetResult(HttpResponse response) {
  GetResult result;
  result.error = ResponseError(response, CallType::kRead);
  if (result.error) return result;
  const auto version = ParseVersionHeader(response);
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
  result.error = ResponseError(response, CallType::kWrite);
  if (result.error && result.error != Errc::kConflict) return result;
  const auto version = ParseVersionHeader(response);
  if (version) {
    result.version = *version;
  } else if (!result.error) {
    result.error = Errc::kUnknownEffect;
  }
  return result;
}

WatchResult ToWatchResult(HttpResponse response) {
  WatchResult result;
  result.error = ResponseError(response, CallType::kRead);
  if (result.error || response.status == 304) return result;
  GetResult object = ToGetResult(std::move(response));
  result.error = object.error;
  result.changed = !object.error;
  result.version = object.version;
  result.body = std::move(object.body);
  return result;
}

bool ParseEntry(const nlohmann::json& item, ObjectEntry* entry) {
  if (!item.is_object()) return false;
  const auto key = item.find("key");
  const auto version = item.find("version");
  if (key == item.end() || !key->is_string()) return false;
  if (version == item.end() || !version->is_number_unsigned()) return false;
  entry->key = key->get<std::string>();
  entry->version = version->get<ObjectVersion>();
  return true;
}

bool ParseEntries(const std::string& body, std::vector<ObjectEntry>* entries) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("objects") || !json["objects"].is_array()) return false;
  for (const auto& it : json["objects"]) {
    ObjectEntry entry;
    if (!ParseEntry(it, &entry)) return false;
    entries->push_back(std::move(entry));
  }
  return true;
}

ListResult ToListResult(const HttpResponse& response) {
  ListResult result;
  result.error = ResponseError(response, CallType::kRead);
  if (result.error) return result;
  if (!ParseEntries(response.body, &result.entries)) {
    result.error = Errc::kUnavailable;
    result.entries.clear();
  }
  return result;
}

DeleteResult ToDeleteResult(const HttpResponse& response) {
  DeleteResult result;
  result.error = ResponseError(response, CallType::kWrite);
  if (result.error == Errc::kConflict) result.version = ParseVersionHeader(response).value_or(0);
  return result;
}

// Returns a function that runs `callback` with `kInvalidInput`.
template <typename Result, typename Callback>
std::function<void()> InvalidInput(Callback callback) {
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
      deferred_(base, [](const std::function<void()>& callback) { callback(); }) {}

void HttpObjectStore::Get(const std::string& key, GetCallback callback) {
  if (!IsValidKey(key)) return deferred_.Post(InvalidInput<GetResult>(std::move(callback)));
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
    return deferred_.Post(InvalidInput<PutResult>(std::move(callback)));
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
  if (!IsValidKey(key)) return deferred_.Post(InvalidInput<WatchResult>(std::move(callback)));
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
  if (!IsValidKey(key)) return deferred_.Post(InvalidInput<DeleteResult>(std::move(callback)));
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
