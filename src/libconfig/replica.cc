#include "camphorhoist/replica.h"

#include <utility>

namespace camphorhoist {

const char* ToString(OfferResult result) {
  switch (result) {
    case OfferResult::kApplied:
      return "applied";
    case OfferResult::kAlreadyCurrent:
      return "already_current";
    case OfferResult::kBelowFloor:
      return "below_floor";
    case OfferResult::kHashMismatch:
      return "hash_mismatch";
  }
  return "unrecognized";
}

void Replica::RaiseFloor(const ConfigVersion& version) {
  if (version > floor_) floor_ = version;
}

OfferResult Replica::Offer(Snapshot::Ptr snapshot) {
  const ConfigVersion& version = snapshot->version();
  if (version == current_->version()) {
    if (snapshot->hash() == current_->hash()) return OfferResult::kAlreadyCurrent;
    return Refuse(OfferResult::kHashMismatch, version,
                  "hash " + snapshot->hash() + " differs from hash " + current_->hash() +
                      " of the same version in force");
  }
  if (version < current_->version()) {
    return Refuse(OfferResult::kBelowFloor, version,
                  "version is below version " + current_->version().ToString() + " in force");
  }
  if (version < floor_) {
    return Refuse(OfferResult::kBelowFloor, version,
                  "version is below the floor " + floor_.ToString());
  }
  floor_ = version;
  current_ = std::move(snapshot);
  kept_.push_back(current_);
  if (kept_.size() > kMaxKeptSnapshots) kept_.pop_front();
  if (last_refusal_ && last_refusal_->version <= floor_) last_refusal_.reset();
  return OfferResult::kApplied;
}

void Replica::NoteRefusal(const ConfigVersion& version, const Findings& findings) {
  last_refusal_ = Refusal{version, findings.ToString()};
}

OfferResult Replica::Refuse(OfferResult result, const ConfigVersion& version, std::string reason) {
  last_refusal_ = Refusal{version, std::move(reason)};
  return result;
}

Snapshot::Ptr Replica::Find(const ConfigVersion& version) const {
  for (const Snapshot::Ptr& it : kept_) {
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
