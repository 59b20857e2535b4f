#include "libupstream/announcement_table.h"

namespace camphorhoist {

namespace {

AnnouncementTable::Outcome Rejected(std::string reason) { return {false, std::move(reason), {}}; }

}  // namespace

const char* ToString(UpstreamState state) {
  switch (state) {
    case UpstreamState::kWarming:
      return "warming";
    case UpstreamState::kServing:
      return "serving";
    case UpstreamState::kDraining:
      return "draining";
  }
  return "";
}

AnnouncementTable::Outcome AnnouncementTable::Announce(const Announcement& announcement,
                                                       TimePoint now) {
  if (departed_.count({announcement.address, announcement.instance}) != 0) {
    return Rejected("this instance has left");
  }
  const auto it = entries_.find(announcement.address);
  const bool same_instance =
      it != entries_.end() && it->second.announcement.instance == announcement.instance;
  if (same_instance && it->second.announcement.state == UpstreamState::kDraining &&
      announcement.state != UpstreamState::kDraining) {
    return Rejected("this instance is draining");
  }
  Outcome outcome;
  outcome.accepted = true;
  if (same_instance && it->second.announcement == announcement) {
    it->second.renewed_at = now;
  } else {
    InsertOrReplace(announcement, now, &outcome);
  }
  return outcome;
}

void AnnouncementTable::InsertOrReplace(const Announcement& announcement, TimePoint now,
                                        Outcome* outcome) {
  const auto it = entries_.find(announcement.address);
  if (it != entries_.end() && it->second.announcement.instance != announcement.instance) {
    departed_[{announcement.address, it->second.announcement.instance}] = now;
    outcome->messages.emplace_back(UpstreamLeft{it->second.announcement, LeaveReason::kReplaced});
  }
  entries_[announcement.address] = {announcement, now};
  if (announcement.state == UpstreamState::kDraining) {
    outcome->messages.emplace_back(UpstreamDraining{announcement});
  } else {
    outcome->messages.emplace_back(UpstreamAnnounced{announcement});
  }
}

AnnouncementTable::Outcome AnnouncementTable::Leave(const NetAddress& address,
                                                    const std::string& instance, TimePoint now) {
  // An unknown instance is recorded too, since its announcement may still be in flight.
  departed_[{address, instance}] = now;
  Outcome outcome;
  outcome.accepted = true;
  const auto it = entries_.find(address);
  if (it == entries_.end() || it->second.announcement.instance != instance) return outcome;
  outcome.messages.emplace_back(UpstreamLeft{it->second.announcement, LeaveReason::kLeft});
  entries_.erase(it);
  return outcome;
}

AnnouncementTable::Outcome AnnouncementTable::ReportLoad(const UpstreamLoad& load) {
  const auto it = entries_.find(load.address);
  if (it == entries_.end() || it->second.announcement.instance != load.instance) {
    return Rejected("this instance is not announced");
  }
  return {true, {}, {load}};
}

std::vector<UpstreamMessage> AnnouncementTable::Expire(TimePoint now) {
  std::vector<UpstreamMessage> messages;
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (now - it->second.renewed_at < kAnnouncementTtl) {
      ++it;
      continue;
    }
    messages.emplace_back(UpstreamLeft{it->second.announcement, LeaveReason::kExpired});
    it = entries_.erase(it);
  }
  for (auto it = departed_.begin(); it != departed_.end();) {
    it = now - it->second < kDepartedRetention ? std::next(it) : departed_.erase(it);
  }
  return messages;
}

std::vector<Announcement> AnnouncementTable::Entries() const {
  std::vector<Announcement> entries;
  for (const auto& it : entries_) entries.push_back(it.second.announcement);
  return entries;
}

}  // namespace camphorhoist
