#include "camphorhoist/acceptance.h"

#include <algorithm>

namespace camphorhoist {

namespace {

std::string ConflictMessage(const RecordConflict& conflict) {
  std::string text = "was read at version " + std::to_string(conflict.read_version) + ", but ";
  if (conflict.current_version == 0) return text + "does not exist";
  text += "is at version " + std::to_string(conflict.current_version);
  if (conflict.field.empty()) return text;
  return text + " and differs in " + conflict.field;
}

}  // namespace

Acceptance::Acceptance(ChangeSet change_set, Snapshot::Ptr base, int fleet_schema,
                       AcceptLimits limits)
    : change_set_(std::move(change_set)),
      base_(std::move(base)),
      fleet_schema_(fleet_schema),
      limits_(limits) {}

AcceptEffect Acceptance::Start() {
  Findings findings;
  CheckChangeSet(change_set_, &findings);
  if (!findings.empty()) return FinishRejected(std::move(findings));
  return ReadHead();
}

AcceptEffect Acceptance::OnRead(const ReadResult& result) {
  return step_ == Step::kReadHead ? OnHead(result) : OnPage(result);
}

AcceptEffect Acceptance::OnWrite(const WriteResult& result) {
  return step_ == Step::kWritePage ? OnPageWritten(result) : OnHeadWritten(result);
}

AcceptEffect Acceptance::OnTimeout() {
  static const char kReason[] = "operation timed out";
  if (step_ == Step::kReadHead || step_ == Step::kReadPage) {
    return OnRead(OperationFailed{kReason});
  }
  return OnWrite(WriteUnknown{kReason});
}

AcceptOutcome Acceptance::OnDeadline() {
  if (step_ == Step::kWriteHead) head_write_pending_ = true;
  return FinishUnknown(kHeadObjectKey, "the acceptance took too long");
}

AcceptEffect Acceptance::ReadHead() {
  step_ = Step::kReadHead;
  attempt_ = 0;
  return ReadObject{kHeadObjectKey, attempt_};
}

AcceptEffect Acceptance::ReadNextPage() {
  const std::optional<std::string> hash = loader_->NextMissingPage();
  attempt_ = 0;
  if (hash) {
    step_ = Step::kReadPage;
    page_hash_ = *hash;
    return ReadObject{PageObjectKey(page_hash_), attempt_};
  }
  Findings findings;
  Snapshot::Ptr snapshot = loader_->Finish(&findings);
  if (snapshot == nullptr) return FinishUnknown(std::move(findings));
  base_ = std::move(snapshot);
  return CheckAndWrite();
}

AcceptEffect Acceptance::WriteNextPage() {
  attempt_ = 0;
  if (pages_written_ == candidate_->pages.size()) return WriteHead();
  step_ = Step::kWritePage;
  return CurrentEffect();
}

AcceptEffect Acceptance::WriteHead() {
  step_ = Step::kWriteHead;
  attempt_ = head_writes_;
  ++head_writes_;
  return CurrentEffect();
}

/// Returns the operation of the current step with the current attempt number.
AcceptEffect Acceptance::CurrentEffect() {
  switch (step_) {
    case Step::kReadHead:
      return ReadObject{kHeadObjectKey, attempt_};
    case Step::kReadPage:
      return ReadObject{PageObjectKey(page_hash_), attempt_};
    case Step::kWritePage: {
      const ConfigPage& page = *candidate_->snapshot->pages()[candidate_->pages[pages_written_]];
      return WriteObject{PageObjectKey(page.hash()), page.Encode(), std::nullopt, attempt_};
    }
    case Step::kWriteHead:
    case Step::kDone:
      break;
  }
  return WriteObject{kHeadObjectKey, candidate_->head_body, head_version_, attempt_};
}

AcceptEffect Acceptance::RetryOrFinish(const std::string& key, const std::string& reason) {
  ++attempt_;
  if (attempt_ >= limits_.max_attempts) {
    return FinishUnknown(key, "the platform did not answer: " + reason);
  }
  return CurrentEffect();
}

AcceptEffect Acceptance::OnHead(const ReadResult& result) {
  if (const auto* failed = std::get_if<OperationFailed>(&result)) {
    return RetryOrFinish(kHeadObjectKey, failed->reason);
  }
  if (const auto* found = std::get_if<ObjectFound>(&result)) return OnHeadFound(*found);
  return OnHeadMissing();
}

AcceptEffect Acceptance::OnHeadFound(const ObjectFound& found) {
  Findings findings;
  std::optional<ConfigHead> head = DecodeHead(found.body, kHeadObjectKey, &findings);
  if (!head) return FinishUnknown(std::move(findings));
  if (const std::optional<uint64_t> number = head->AcceptedNumber(change_set_.id)) {
    return FinishAccepted({head->version.epoch(), *number}, IsCandidate(*head));
  }
  if (candidate_ && head_version_ == found.version) {
    if (head_writes_ >= limits_.max_attempts) {
      return FinishUnknown(kHeadObjectKey, "the platform did not confirm the write");
    }
    return WriteHead();
  }
  return OnHeadChanged(std::move(*head), found.version);
}

AcceptEffect Acceptance::OnHeadMissing() {
  if (!base_->version().none()) {
    return FinishUnknown(kHeadObjectKey, "is missing, but version " + base_->version().ToString() +
                                             " was in force; it must be restored");
  }
  if (!candidate_) {
    head_version_.reset();
    return CheckAndWrite();
  }
  if (head_writes_ >= limits_.max_attempts) {
    return FinishUnknown(kHeadObjectKey, "the platform did not confirm the write");
  }
  return WriteHead();
}

AcceptEffect Acceptance::OnHeadChanged(ConfigHead head, uint64_t object_version) {
  if (head.version < base_->version()) {
    return FinishUnknown(kHeadObjectKey, "has version " + head.version.ToString() +
                                             ", but version " + base_->version().ToString() +
                                             " was in force");
  }
  if (candidate_) {
    const ConfigVersion& base_version = candidate_->base_version;
    // If the head has another epoch, or its list of recent change sets does not reach back to the
    // base version, the id of a pending write may be missing although the write took effect.
    const bool same_epoch = base_version.none() || base_version.epoch() == head.version.epoch();
    if (head_write_pending_ &&
        (!same_epoch || !head.ListsAllChangeSetsFrom(base_version.number() + 1))) {
      return FinishUnknown(kHeadObjectKey, "no longer lists the change sets after version " +
                                               base_version.ToString());
    }
    // A pending write can no longer take effect: its condition names the old object version.
    head_write_pending_ = false;
    candidate_.reset();
    ++rebases_;
    if (rebases_ > limits_.max_rebases) {
      return FinishUnknown(kHeadObjectKey, "was changed by other change sets at every attempt");
    }
  }
  head_version_ = object_version;
  recent_change_sets_ = head.recent_change_sets;
  loader_.emplace(std::move(head), base_);
  return ReadNextPage();
}

AcceptEffect Acceptance::OnPage(const ReadResult& result) {
  const std::string key = PageObjectKey(page_hash_);
  if (const auto* failed = std::get_if<OperationFailed>(&result)) {
    return RetryOrFinish(key, failed->reason);
  }
  const auto* found = std::get_if<ObjectFound>(&result);
  if (found == nullptr) return FinishUnknown(key, "is missing");
  Findings findings;
  if (!loader_->AddPage(page_hash_, found->body, &findings)) {
    return FinishUnknown(std::move(findings));
  }
  return ReadNextPage();
}

AcceptEffect Acceptance::OnPageWritten(const WriteResult& result) {
  const std::string& hash =
      candidate_->snapshot->pages()[candidate_->pages[pages_written_]]->hash();
  if (const auto* failed = std::get_if<OperationFailed>(&result)) {
    return RetryOrFinish(PageObjectKey(hash), failed->reason);
  }
  if (const auto* unknown = std::get_if<WriteUnknown>(&result)) {
    return RetryOrFinish(PageObjectKey(hash), unknown->reason);
  }
  // A conflict means that the page already exists. Its key is the hash of its content, so that the
  // content is the same.
  ++pages_written_;
  return WriteNextPage();
}

AcceptEffect Acceptance::OnHeadWritten(const WriteResult& result) {
  if (std::holds_alternative<WriteDone>(result)) {
    return FinishAccepted(candidate_->snapshot->version(), true);
  }
  if (const auto* failed = std::get_if<OperationFailed>(&result)) {
    if (head_writes_ < limits_.max_attempts) return WriteHead();
    return FinishUnknown(kHeadObjectKey, "the platform did not answer: " + failed->reason);
  }
  if (std::holds_alternative<WriteUnknown>(result)) head_write_pending_ = true;
  return ReadHead();
}

AcceptEffect Acceptance::CheckAndWrite() {
  std::vector<RecordConflict> conflicts = FindConflicts();
  if (!conflicts.empty()) return FinishConflict(std::move(conflicts));
  Findings findings;
  CheckFleetSchema(&findings);
  Snapshot::Ptr next = BuildNextSnapshot(&findings);
  if (!findings.empty()) return FinishRejected(std::move(findings));
  Candidate candidate;
  candidate.base_version = base_->version();
  candidate.head_body = EncodeHead(MakeHead(*next, recent_change_sets_, change_set_.id));
  for (size_t n = 0; n < kPageCount; ++n) {
    if (next->pages()[n]->hash() != base_->pages()[n]->hash()) candidate.pages.push_back(n);
  }
  candidate.snapshot = std::move(next);
  candidate_ = std::move(candidate);
  pages_written_ = 0;
  head_writes_ = 0;
  return WriteNextPage();
}

std::vector<RecordConflict> Acceptance::FindConflicts() const {
  std::vector<RecordConflict> conflicts;
  for (const Change& it : change_set_.changes) {
    const StoredRecord* stored = base_->Find(it.key());
    const uint64_t current = stored == nullptr ? 0 : stored->version;
    if (!it.read_version() || *it.read_version() == current) continue;
    RecordConflict conflict = {it.key(), *it.read_version(), current, ""};
    if (stored != nullptr && it.record()) {
      conflict.field = FirstDifference(*it.record(), stored->record);
    }
    conflicts.push_back(std::move(conflict));
  }
  return conflicts;
}

void Acceptance::CheckFleetSchema(Findings* findings) const {
  if (change_set_.allow_newer_schema) return;
  for (const Change& it : change_set_.changes) {
    if (!it.record() || it.record()->schema() <= fleet_schema_) continue;
    findings->Add(it.key().ToString() + ".schema",
                  "is " + std::to_string(it.record()->schema()) +
                      ", but a live node understands only schema " + std::to_string(fleet_schema_) +
                      " and below");
  }
}

Snapshot::Ptr Acceptance::BuildNextSnapshot(Findings* findings) const {
  const uint64_t epoch = base_->version().none() ? 1 : base_->version().epoch();
  const ConfigVersion version(epoch, base_->version().number() + 1);
  std::vector<StoredRecord> upserts;
  std::vector<RecordKey> removals;
  for (const Change& it : change_set_.changes) {
    if (it.record()) {
      upserts.push_back({*it.record(), version.number()});
    } else {
      removals.push_back(it.key());
    }
  }
  return base_->WithChanges(version, upserts, removals, findings);
}

AcceptEffect Acceptance::FinishConflict(std::vector<RecordConflict> conflicts) {
  step_ = Step::kDone;
  AcceptOutcome outcome;
  outcome.status = AcceptStatus::kConflict;
  outcome.change_set_id = change_set_.id;
  outcome.version = base_->version();
  for (const RecordConflict& it : conflicts) {
    outcome.findings.Add(it.key.ToString(), ConflictMessage(it));
  }
  outcome.conflicts = std::move(conflicts);
  return outcome;
}

AcceptEffect Acceptance::FinishRejected(Findings findings) {
  step_ = Step::kDone;
  AcceptOutcome outcome;
  outcome.status = AcceptStatus::kRejected;
  outcome.change_set_id = change_set_.id;
  outcome.version = base_->version();
  outcome.findings = std::move(findings);
  return outcome;
}

bool Acceptance::IsCandidate(const ConfigHead& head) const {
  if (!candidate_ || candidate_->snapshot->version() != head.version) return false;
  const ConfigPages& pages = candidate_->snapshot->pages();
  return std::equal(pages.begin(), pages.end(), head.pages.begin(), head.pages.end(),
                    [](const ConfigPage::Ptr& a, const std::string& b) { return a->hash() == b; });
}

AcceptEffect Acceptance::FinishAccepted(const ConfigVersion& version, bool is_candidate) {
  step_ = Step::kDone;
  AcceptOutcome outcome;
  outcome.status = AcceptStatus::kAccepted;
  outcome.change_set_id = change_set_.id;
  outcome.version = version;
  if (is_candidate) accepted_ = candidate_->snapshot;
  return outcome;
}

AcceptOutcome Acceptance::FinishUnknown(Findings findings) {
  step_ = Step::kDone;
  AcceptOutcome outcome;
  outcome.status = AcceptStatus::kUnknown;
  outcome.change_set_id = change_set_.id;
  outcome.findings = std::move(findings);
  outcome.may_take_effect = head_write_pending_;
  return outcome;
}

AcceptOutcome Acceptance::FinishUnknown(const std::string& place, const std::string& message) {
  Findings findings;
  findings.Add(place, message);
  return FinishUnknown(std::move(findings));
}

}  // namespace camphorhoist
