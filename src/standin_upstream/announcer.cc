#include "standin_upstream/announcer.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "libbase/log.h"
#include "libupstream/announcement_codec.h"

namespace camphorhoist {

namespace {

HttpRequest Post(const std::string& target, std::string body) {
  HttpRequest request;
  request.method = "POST";
  request.target = target;
  request.headers = {{"Content-Type", "application/json"}};
  request.body = std::move(body);
  return request;
}

}  // namespace

Announcer::Announcer(event_base* base, std::vector<NetAddress> nodes,
                     std::function<Announcement()> announcement, std::function<double()> load)
    : nodes_(std::move(nodes)),
      announcement_(std::move(announcement)),
      load_(std::move(load)),
      timer_(base, [this] { AnnounceNow([] {}); }),
      client_(base) {}

void Announcer::Start() {
  AnnounceNow([] {});
  timer_.StartPeriodic(kInterval);
}

void Announcer::AnnounceNow(std::function<void()> done) {
  if (suspended_) {
    done();
    return;
  }
  Announce(0, std::move(done));
}

void Announcer::Announce(size_t node_index, std::function<void()> done) {
  if (node_index >= nodes_.size()) {
    done();
    return;
  }
  client_.Send(nodes_[node_index], Post("/announce", FormatAnnouncement(announcement_())), kTimeout,
               [this, node_index, done = std::move(done)](const HttpResponse& response) {
                 if (response.error) {
                   Announce(node_index + 1, done);
                   return;
                 }
                 if (response.status != 200) {
                   LogEvent(LogLevel::kWarn, "standin", "announcement_rejected")
                       .Add("status", response.status)
                       .Add("body", response.body);
                 }
                 ReportLoad(node_index);
                 done();
               });
}

void Announcer::ReportLoad(size_t node_index) {
  const Announcement announcement = announcement_();
  const nlohmann::json body = {{"address", announcement.address.ToString()},
                               {"instance", announcement.instance},
                               {"load", load_()}};
  client_.Send(nodes_[node_index], Post("/load", body.dump()), kTimeout,
               [](const HttpResponse&) {});
}

void Announcer::Leave(const std::function<void()>& done) {
  timer_.Stop();
  suspended_ = true;
  pending_leaves_ = nodes_.size();
  if (nodes_.empty()) done();
  const Announcement announcement = announcement_();
  const nlohmann::json body = {{"address", announcement.address.ToString()},
                               {"instance", announcement.instance}};
  for (const NetAddress& it : nodes_) {
    client_.Send(it, Post("/leave", body.dump()), kTimeout, [this, done](const HttpResponse&) {
      if (--pending_leaves_ == 0) done();
    });
  }
}

}  // namespace camphorhoist
