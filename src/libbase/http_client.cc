#include "libbase/http_client.h"

#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>

#include <algorithm>

#include "camphorhoist/error.h"
#include "libbase/socket_options.h"

namespace camphorhoist {

namespace {

constexpr size_t kMaxIdleConnectionsPerServer = 4;

// Only requests that take longer than this, such as watches, need to detect an unresponsive peer.
constexpr std::chrono::milliseconds kSocketTuningDelay{100};
constexpr std::chrono::milliseconds kUnackedTimeout{1500};

struct MethodName {
  const char* name;
  evhttp_cmd_type type;
};

constexpr MethodName kMethods[] = {{"GET", EVHTTP_REQ_GET},        {"POST", EVHTTP_REQ_POST},
                                   {"PUT", EVHTTP_REQ_PUT},        {"DELETE", EVHTTP_REQ_DELETE},
                                   {"HEAD", EVHTTP_REQ_HEAD},      {"PATCH", EVHTTP_REQ_PATCH},
                                   {"OPTIONS", EVHTTP_REQ_OPTIONS}};

evhttp_cmd_type MethodType(const std::string& method) {
  for (const MethodName& it : kMethods) {
    if (method == it.name) return it.type;
  }
  return EVHTTP_REQ_GET;
}

}  // namespace

std::string HttpResponse::Header(const std::string& name) const {
  const auto it = std::find_if(headers.begin(), headers.end(), [&name](const auto& header) {
    return strcasecmp(header.first.c_str(), name.c_str()) == 0;
  });
  return it == headers.end() ? std::string() : it->second;
}

/// One request on its own connection. Destroyed from a timer callback, since evhttp does not allow
/// the connection to be freed from inside the request callback.
class HttpClient::Exchange {
 public:
  Exchange(HttpClient* owner, RequestId id, NetAddress server, Callback callback)
      : owner_(owner),
        id_(id),
        server_(std::move(server)),
        callback_(std::move(callback)),
        finish_timer_(owner->base_, [this] { Finish(); }),
        tune_timer_(owner->base_, [this] { TuneConnection(); }) {}

  void Start(EvhttpConnectionPtr connection, HttpRequest request,
             std::chrono::milliseconds timeout) {
    connection_ = std::move(connection);
    const timeval tv = ToTimeval(timeout);
    evhttp_connection_set_timeout_tv(connection_.get(), &tv);
    evhttp_connection_set_max_body_size(connection_.get(), kMaxBodyBytes);
    evhttp_request* req = evhttp_request_new(&Exchange::OnDone, this);
    evhttp_request_set_error_cb(req, &Exchange::OnError);
    evkeyvalq* out = evhttp_request_get_output_headers(req);
    evhttp_add_header(out, "Host", server_.ToString().c_str());
    for (const auto& it : request.headers) {
      evhttp_add_header(out, it.first.c_str(), it.second.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(req), request.body.data(), request.body.size());
    if (evhttp_make_request(connection_.get(), req, MethodType(request.method),
                            request.target.c_str()) != 0) {
      result_.error = Errc::kUnavailable;
      ScheduleFinish();
    }
    tune_timer_.StartOnce(kSocketTuningDelay);
  }

 private:
  static void OnError(evhttp_request_error, void* arg) {
    static_cast<Exchange*>(arg)->result_.error = Errc::kUnknownEffect;
  }

  // evhttp passes a request with status 0 if the connection could not be opened, and a null request
  // if an open connection failed.
  static void OnDone(evhttp_request* req, void* arg) {
    auto* self = static_cast<Exchange*>(arg);
    if (req == nullptr) {
      self->result_.error = Errc::kUnknownEffect;
    } else if (evhttp_request_get_response_code(req) == 0) {
      if (!self->result_.error) self->result_.error = Errc::kUnavailable;
    } else {
      self->ReadResponse(req);
    }
    self->ScheduleFinish();
  }

  void ReadResponse(evhttp_request* req) {
    result_.error.clear();
    result_.status = evhttp_request_get_response_code(req);
    const evkeyvalq* in = evhttp_request_get_input_headers(req);
    for (const evkeyval* it = in->tqh_first; it != nullptr; it = it->next.tqe_next) {
      result_.headers.emplace_back(it->key, it->value);
    }
    evbuffer* body = evhttp_request_get_input_buffer(req);
    result_.body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, result_.body.data(), result_.body.size());
    reusable_ = strcasecmp(result_.Header("Connection").c_str(), "close") != 0;
  }

  // Called from a timer, since the socket exists only after the connection attempt has started.
  void TuneConnection() {
    if (connection_ == nullptr) return;
    const int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection_.get()));
    if (fd >= 0) TuneSocket(fd, kUnackedTimeout);
  }

  void ScheduleFinish() { finish_timer_.StartOnce(std::chrono::microseconds(0)); }

  void Finish() {
    if (reusable_ && owner_->idle_.count(server_) < kMaxIdleConnectionsPerServer) {
      owner_->idle_.emplace(server_, std::move(connection_));
    } else {
      connection_.reset();
    }
    Callback callback = std::move(callback_);
    HttpResponse result = std::move(result_);
    owner_->exchanges_.erase(id_);
    callback(std::move(result));
  }

  HttpClient* owner_;
  RequestId id_;
  NetAddress server_;
  Callback callback_;
  HttpResponse result_;
  bool reusable_ = false;
  Timer finish_timer_;
  Timer tune_timer_;
  EvhttpConnectionPtr connection_;
};

HttpClient::HttpClient(event_base* base) : base_(base) {}

HttpClient::~HttpClient() = default;

HttpClient::RequestId HttpClient::Send(const NetAddress& server, HttpRequest request,
                                       std::chrono::milliseconds timeout, Callback callback) {
  EvhttpConnectionPtr connection;
  // The server may have closed an idle connection. A request written to it would then have an
  // unknown effect, so only GET requests, which are safe, reuse one.
  const auto it = request.method == "GET" ? idle_.find(server) : idle_.end();
  if (it != idle_.end()) {
    connection = std::move(it->second);
    idle_.erase(it);
  } else {
    connection.reset(
        evhttp_connection_base_new(base_, nullptr, server.ip().c_str(), server.port()));
  }
  const RequestId id = next_request_id_++;
  auto exchange = std::make_unique<Exchange>(this, id, server, std::move(callback));
  Exchange* raw = exchange.get();
  exchanges_.emplace(id, std::move(exchange));
  raw->Start(std::move(connection), std::move(request), timeout);
  return id;
}

size_t HttpClient::in_flight() const { return exchanges_.size(); }

void HttpClient::Cancel(RequestId id) { exchanges_.erase(id); }

}  // namespace camphorhoist
