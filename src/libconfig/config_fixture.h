#ifndef CAMPHORHOIST_LIBCONFIG_CONFIG_FIXTURE_H_
#define CAMPHORHOIST_LIBCONFIG_CONFIG_FIXTURE_H_

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "camphorhoist/record.h"
#include "camphorhoist/snapshot.h"

namespace camphorhoist {

/// Helpers that build inputs of tests and benchmarks. Each throws `std::invalid_argument` if there
/// is any finding.

inline void RequireNoFindings(const Findings& findings) {
  if (!findings.empty()) throw std::invalid_argument(findings.ToString());
}

inline Record ParseRecord(const std::string& text) {
  Findings findings;
  std::optional<Record> record = Record::Parse(text, "record", &findings);
  RequireNoFindings(findings);
  return *record;
}

/// Builds a snapshot of version 1.`number` in which each record has version `number`.
inline Snapshot::Ptr BuildSnapshot(uint64_t number, const std::string& text) {
  Findings findings;
  std::vector<StoredRecord> records;
  for (Record& it : ParseRecords(text, "records", &findings)) {
    records.push_back({std::move(it), number});
  }
  Snapshot::Ptr snapshot = Snapshot::Build({1, number}, records, &findings);
  RequireNoFindings(findings);
  return snapshot;
}

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBCONFIG_CONFIG_FIXTURE_H_
