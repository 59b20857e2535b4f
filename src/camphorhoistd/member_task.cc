#include "camphorhoistd/member_task.h"

#include <utility>

#include "libbase/log.h"

namespace camphorhoist {

namespace {

constexpr std::chrono::milliseconds kTickPeriod{100};

MemberTime Now() { return std::chrono::steady_clock::now(); }

}  // namespace

MemberTask::MemberTask(event_base* base, const MembershipOptions& options, std::mt19937_64* rng,
                       Mailbox<MemberEvent>* events)
    : self_(options.self),
      rng_(rng),
      events_(events),
      membership_(options),
      endpoints_(options.data_centre, options.region),
      socket_(base,
              [this](const NetAddress& from, const std::string& data) { OnDatagram(from, data); }),
      tick_timer_(base, [this] { Execute(membership_.Tick(Now(), *rng_)); }) {}

std::error_code MemberTask::Start() {
  const std::error_code ec = socket_.Bind(self_);
  if (ec) return ec;
  Execute(membership_.Tick(Now(), *rng_));
  tick_timer_.StartPeriodic(kTickPeriod);
  return {};
}

void MemberTask::PublishConfig(const ConfigVersion& version, const std::string& hash,
                               const std::string& refusal) {
  state_.version = version;
  state_.hash = hash;
  state_.refusal = refusal;
  PublishSelf();
}

void MemberTask::PublishEndpoints(std::vector<EndpointInfo> endpoints) {
  state_.endpoints = std::move(endpoints);
  PublishSelf();
}

void MemberTask::StartDraining() {
  state_.draining = true;
  PublishSelf();
}

void MemberTask::Leave() { Execute(membership_.Leave(Now(), *rng_)); }

void MemberTask::Announce(const MemberId& to) { Send(membership_.MakeAnnouncement(Now(), to)); }

void MemberTask::SetEndpointListener(std::function<void()> listener) {
  endpoints_.SetListener([listener = std::move(listener)](const std::string&) { listener(); });
}

void MemberTask::PublishSelf() {
  std::error_code ec;
  Execute(membership_.UpdateSelf(Now(), *rng_, state_, &ec));
  if (ec) LogEvent(LogLevel::kError, "member", "entry_too_large").Add("error", ec.message());
}

void MemberTask::OnDatagram(const NetAddress& from, const std::string& data) {
  std::error_code ec;
  std::string reason;
  const auto message = DecodeMemberMessage(data, &ec, &reason);
  if (!message) {
    ++malformed_datagrams_;
    LogEvent(LogLevel::kWarn, "member", "malformed_datagram")
        .Add("from", from.ToString())
        .Add("error", reason);
    return;
  }
  Execute(membership_.OnMessage(Now(), *rng_, from, *message));
}

void MemberTask::Execute(const MemberEffects& effects) {
  for (const MemberEffect& it : effects) {
    if (const auto* send = std::get_if<SendMessage>(&it)) {
      Send(*send);
      continue;
    }
    endpoints_.Apply(it);
    if (const auto* observed = std::get_if<VersionObserved>(&it)) events_->Post(*observed);
    if (const auto* member = std::get_if<MemberChanged>(&it)) events_->Post(*member);
    if (const auto* data_centre = std::get_if<DataCentreChanged>(&it)) events_->Post(*data_centre);
  }
}

void MemberTask::Send(const SendMessage& send) {
  std::error_code ec;
  std::string reason;
  const std::string data = EncodeMemberMessage(send.message, &ec, &reason);
  if (ec) {
    LogEvent(LogLevel::kError, "member", "cannot_encode").Add("error", reason);
    return;
  }
  socket_.Send(send.to, data);
}

}  // namespace camphorhoist
