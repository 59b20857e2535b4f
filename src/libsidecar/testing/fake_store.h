#ifndef CAMPHORHOIST_LIBSIDECAR_TESTING_FAKE_STORE_H_
#define CAMPHORHOIST_LIBSIDECAR_TESTING_FAKE_STORE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "camphorhoist/net_address.h"
#include "libbase/event_ptr.h"

namespace camphorhoist {

/// In-memory implementation of the platform's store for tests: paged lists, watches, conditional
/// writes, a history that can be discarded, and injected faults.
///
/// Thread safety: none; use on the thread of the event loop.
class FakeStore {
 public:
  enum class Fault : uint8_t {
    kNone,
    /// Every call is rejected with 503 and has no effect.
    kBusy,
    /// Writes are applied, and the connection is closed without a response.
    kLostResponses,
    /// No call gets a response, and neither do the watches that wait when the fault begins, also
    /// after it has ended. Their connections stay open.
    kUnresponsive,
  };

  /// Listens on a free port of loopback, or on `port`. Precondition: `base` outlives the store.
  explicit FakeStore(event_base* base, uint16_t port = 0);
  /// Closes all connections first, since the close callback accesses `watches_`.
  ~FakeStore() { http_.reset(); }
  FakeStore(const FakeStore&) = delete;
  FakeStore& operator=(const FakeStore&) = delete;

  const NetAddress& address() const { return address_; }
  void set_fault(Fault fault);
  void set_page_size(size_t size) { page_size_ = size; }
  /// Calls beyond this number since the start get no response. A client that calls without end
  /// would keep the event loop from returning to the test.
  void set_max_calls(uint64_t max) { max_calls_ = max; }
  /// Writes or deletes an object as another client would.
  void Put(const std::string& kind, const std::string& name, const nlohmann::json& spec);
  void Delete(const std::string& kind, const std::string& name);
  /// Writes an object whose spec is `text`, which need not be representable as `nlohmann::json`.
  void PutText(const std::string& kind, const std::string& name, const std::string& text);
  /// Spec of an object; null if there is none.
  nlohmann::json Spec(const std::string& kind, const std::string& name) const;
  /// Status of an object; null if there is none.
  nlohmann::json Status(const std::string& kind, const std::string& name) const;
  /// All statuses that were written, in the order of the writes.
  const std::vector<nlohmann::json>& statuses() const { return statuses_; }
  /// Keeps a copy of all objects and of the revision.
  void SaveCopy();
  /// Returns to the copy and increments the era. The pending watches get no response.
  /// Precondition: `SaveCopy` was called.
  void RestoreCopy();
  /// Discards the history and ends all watches with 410.
  void DropHistory();
  /// Number of calls handled since the start.
  uint64_t calls() const { return calls_; }
  /// Number of calls about objects of a kind since the start.
  uint64_t calls(const std::string& kind) const {
    const auto it = calls_by_kind_.find(kind);
    return it == calls_by_kind_.end() ? 0 : it->second;
  }
  /// Number of watches that wait for a change, without those whose client has closed the
  /// connection.
  size_t watches() const;

 private:
  struct Event {
    int64_t revision;
    std::string kind;
    nlohmann::json object;
    bool deleted;
  };
  struct Watch {
    evhttp_request* req;
    std::string kind;
    int64_t from;
    std::unique_ptr<Timer> timer;
  };
  using Kinds = std::map<std::string, std::map<std::string, nlohmann::json>>;
  struct Response {
    int status = 200;
    nlohmann::json body = nullptr;
  };

  static void OnRequest(evhttp_request* req, void* arg);
  static void OnConnectionClosed(evhttp_connection* connection, void* arg);
  void Handle(evhttp_request* req);
  Response Read(const std::string& kind, const std::string& name, const std::string& after) const;
  Response Write(evhttp_cmd_type method, const std::string& kind, const std::string& name,
                 const nlohmann::json& body);
  Response WriteStatus(const std::string& kind, const std::string& name,
                       const nlohmann::json& body);
  void StartWatch(evhttp_request* req, const std::string& kind, int64_t from, int wait_ms);
  nlohmann::json Changes(const std::string& kind, int64_t from) const;
  void NotifyWatches();
  void Record(const std::string& kind, const nlohmann::json& object, bool deleted);
  void Reply(evhttp_request* req, const Response& response) const;

  event_base* base_;
  EvhttpPtr http_;
  NetAddress address_;
  Fault fault_ = Fault::kNone;
  size_t page_size_ = 500;
  int64_t revision_ = 10;
  int64_t history_start_ = 10;
  uint64_t calls_ = 0;
  std::map<std::string, uint64_t> calls_by_kind_;
  uint64_t max_calls_ = UINT64_MAX;
  /// Number of times that the store was restored from a copy, plus one.
  int64_t era_ = 1;
  Kinds kinds_;
  Kinds copied_kinds_;
  int64_t copied_revision_ = 0;
  std::deque<Event> history_;
  std::list<Watch> watches_;
  std::vector<nlohmann::json> statuses_;
  /// Texts of the specs that `PutText` wrote, by the placeholder in their objects.
  std::map<std::string, std::string> texts_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_TESTING_FAKE_STORE_H_
