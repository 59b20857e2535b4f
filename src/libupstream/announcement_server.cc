#include "libupstream/announcement_server.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include <cerrno>
#include <nlohmann/json.hpp>
#include <utility>

#include "libbase/log.h"
#include "libupstream/announcement_codec.h"

namespace camphorhoist {

namespace {

using nlohmann::json;
using std::chrono::steady_clock;

void Reply(evhttp_request* req, int status, const json& body) {
  const std::string text = body.dump(-1, ' ', false, json::error_handler_t::replace);
  evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type", "application/json");
  const EvbufferPtr buf(evbuffer_new());
  evbuffer_add(buf.get(), text.data(), text.size());
  evhttp_send_reply(req, status, nullptr, buf.get());
}

json ToJson(const Findings& findings) {
  json list = json::array();
  for (const Finding& it : findings.items()) {
    list.push_back({{"place", it.place()}, {"message", it.message()}});
  }
  return {{"findings", list}};
}

std::string ReadBody(evhttp_request* req) {
  evbuffer* in = evhttp_request_get_input_buffer(req);
  std::string body(evbuffer_get_length(in), '\0');
  evbuffer_remove(in, body.data(), body.size());
  return body;
}

bool IsKnownPath(const std::string& path) {
  return path == "/announce" || path == "/leave" || path == "/load";
}

}  // namespace

AnnouncementServer::AnnouncementServer(event_base* base, Mailbox<UpstreamMessage>* mailbox)
    : mailbox_(mailbox), expire_timer_(base, [this] { Expire(); }), http_(evhttp_new(base)) {
  evhttp_set_max_body_size(http_.get(), kMaxBodyBytes);
  evhttp_set_max_headers_size(http_.get(), kMaxHeadBytes);
  evhttp_set_gencb(http_.get(), &AnnouncementServer::OnRequest, this);
  expire_timer_.StartPeriodic(kExpiryCheckInterval);
}

std::error_code AnnouncementServer::Listen(const NetAddress& address) {
  errno = 0;
  evhttp_bound_socket* socket =
      evhttp_bind_socket_with_handle(http_.get(), address.ip().c_str(), address.port());
  if (socket == nullptr) {
    return std::error_code(errno == 0 ? EINVAL : errno, std::system_category());
  }
  sockaddr_in name{};
  socklen_t size = sizeof(name);
  getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr*>(&name), &size);
  address_ = NetAddress(address.ip(), ntohs(name.sin_port));
  return {};
}

void AnnouncementServer::OnRequest(evhttp_request* req, void* arg) {
  static_cast<AnnouncementServer*>(arg)->Handle(req);
}

void AnnouncementServer::Handle(evhttp_request* req) {
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(req);
  const char* path_text = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
  const std::string path = path_text == nullptr ? "" : path_text;
  if (!IsKnownPath(path)) {
    Reply(req, 404, {{"reason", "the paths are /announce, /leave and /load"}});
    return;
  }
  if (evhttp_request_get_command(req) != EVHTTP_REQ_POST) {
    Reply(req, 405, {{"reason", "the method is not POST"}});
    return;
  }
  Findings findings;
  AnnouncementTable::Outcome outcome = Apply(path, ReadBody(req), &findings);
  if (!findings.empty()) {
    LogEvent(LogLevel::kWarn, "upstream", "announcement_invalid")
        .Add("path", path)
        .Add("findings", findings.ToString());
    Reply(req, 400, ToJson(findings));
  } else if (!outcome.accepted) {
    Reply(req, 409, {{"reason", outcome.reason}});
  } else {
    Post(std::move(outcome.messages));
    constexpr std::chrono::milliseconds kTtl = AnnouncementTable::kAnnouncementTtl;
    Reply(req, 200, {{"lapse_ms", kTtl.count()}});
  }
}

AnnouncementTable::Outcome AnnouncementServer::Apply(const std::string& path,
                                                     const std::string& body, Findings* findings) {
  const auto now = steady_clock::now();
  if (path == "/announce") {
    const Announcement announcement = ParseAnnouncement(body, findings);
    return findings->empty() ? table_.Announce(announcement, now) : AnnouncementTable::Outcome();
  }
  if (path == "/leave") {
    const Announcement leaving = ParseLeave(body, findings);
    return findings->empty() ? table_.Leave(leaving.address, leaving.instance, now)
                             : AnnouncementTable::Outcome();
  }
  const UpstreamLoad load = ParseLoad(body, findings);
  return findings->empty() ? table_.ReportLoad(load) : AnnouncementTable::Outcome();
}

void AnnouncementServer::Expire() { Post(table_.Expire(steady_clock::now())); }

void AnnouncementServer::Post(std::vector<UpstreamMessage> messages) {
  for (UpstreamMessage& it : messages) mailbox_->Post(std::move(it));
}

}  // namespace camphorhoist
