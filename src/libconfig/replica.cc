#include "camphorhoist/replica.h"

#include <utility>

namespace camphorhoist {

const char* ToString(ApplyResult result) {
  switch (result) {
    case ApplyResult::kApplied:
      return "applied";
    case ApplyResult::kAlreadyCurrent:
      return "already_current";
    case ApplyResult::kBelowFloor:
      return "below_floor";
    case ApplyResult::kHashMismatch:
      return "hash_mismatch";
  }
  return "unrecognized";
}

void Replica::RaiseFloor(const ConfigVersion& version) {
  if (version > floor_) floor_ = version;
}

ApplyResult Replica::TryApply(Snapshot::Ptr snapshot) {
  const ConfigVersion& version = snapshot->version();
  if (version == current_->version()) {
    if (snapshot->hash() == current_->hash()) return ApplyResult::kAlreadyCurrent;
    return Refuse(ApplyResult::kHashMismatch, version,
                  "hash " + snapshot->hash() + " differs from hash " + current_->hash() +
                      " of the same version in force");
  }
  if (version < current_->version()) {
    return Refuse(ApplyResult::kBelowFloor, version,
                  "version is below version " + current_->version().ToString() + " in force");
  }
  if (version < floor_) {
    return Refuse(ApplyResult::kBelowFloor, version,
                  "version is below the floor " + floor_.ToString());
  }
  floor_ = version;
  current_ = std::move(snapshot);
  retained_.push_back(current_);
  if (retained_.size() > kMaxRetainedSnapshots) retained_.pop_front();
  if (last_refusal_ && last_refusal_->version <= floor_) last_refusal_.reset();
  return ApplyResult::kApplied;
}

void Replica::SetLastRefusal(const ConfigVersion& version, const Findings& findings) {
  last_refusal_ = Refusal{version, findings.ToString()};
}

ApplyResult Replica::Refuse(ApplyResult result, const ConfigVersion& version, std::string reason) {
  last_refusal_ = Refusal{version, std::move(reason)};
  return result;
}

Snapshot::Ptr Replica::Find(const ConfigVersion& version) const {
  for (const Snapshot::Ptr& it : retained_) {
    if (it->version() == version) return it;
  }
  return nullptr;
}

std::optional<Delta> Replica::DeltaFrom(const ConfigVersion& version,
                                        const std::string& hash) const {
  const Snapshot::Ptr from = Find(version);
  if (from == nullptr || from->hash() != hash || from->version() >= current_->version()) {
    return std::nullopt;
  }
  return MakeDelta(*from, *current_);
}

}  // namespace camphorhoist
