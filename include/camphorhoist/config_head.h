#ifndef CAMPHORHOIST_CONFIG_HEAD_H_
#define CAMPHORHOIST_CONFIG_HEAD_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "camphorhoist/config_page.h"
#include "camphorhoist/config_version.h"
#include "camphorhoist/finding.h"
#include "camphorhoist/snapshot.h"

namespace camphorhoist {

/// Key of the head object in the platform's object store.
extern const char kHeadObjectKey[];
/// Number of accepted change sets that the head lists.
constexpr size_t kMaxRecentChangeSets = 128;

/// An accepted change set as listed in the head.
struct RecentChangeSet {
  std::string id;
  /// Number of the configuration version that it created.
  uint64_t number = 0;

  friend bool operator==(const RecentChangeSet& a, const RecentChangeSet& b) {
    return a.id == b.id && a.number == b.number;
  }
};

/// The object that determines which configuration is in force: its version and the hashes of its
/// pages.
struct ConfigHead {
  ConfigVersion version;
  /// Content hash of each page, by page index.
  std::array<std::string, kPageCount> pages;
  /// The most recently accepted change sets, in ascending order of their numbers. They make
  /// resubmissions idempotent.
  std::vector<RecentChangeSet> recent_change_sets;
  /// Highest record schema in use.
  int schema = 1;

  /// Number of the configuration version that the change set created; empty if the change set is
  /// not one of the recent ones.
  std::optional<uint64_t> AcceptedNumber(const std::string& change_set_id) const;
  /// True if `recent_change_sets` lists every change set accepted from `number` up to `version`, so
  /// that a change set that it does not list was not accepted in that range.
  bool ListsAllChangeSetsFrom(uint64_t number) const;
};

/// Makes the head that puts `next`, the result of the change set `change_set_id`, in force.
/// `recent_change_sets` is the list of the previous head; the oldest entries are dropped so that
/// the new list has at most `kMaxRecentChangeSets`.
ConfigHead MakeHead(const Snapshot& next, std::vector<RecentChangeSet> recent_change_sets,
                    const std::string& change_set_id);

/// Encodes as JSON with sorted fields and no whitespace; always below 1 MB.
std::string EncodeHead(const ConfigHead& head);
/// Adds findings and returns an empty optional unless `text` is exactly what `EncodeHead` would
/// write.
std::optional<ConfigHead> DecodeHead(const std::string& text, const std::string& place,
                                     Findings* findings);

/// Collects the pages of a head and builds its snapshot. Takes empty pages and those that `base`
/// already has without reading them.
///
/// Thread safety: none; use from one thread.
class SnapshotLoader {
 public:
  /// `base` may be null.
  SnapshotLoader(ConfigHead head, Snapshot::Ptr base);

  const ConfigHead& head() const { return head_; }
  /// Hash of the first page that is still to be read; empty once all pages are present.
  std::optional<std::string> NextMissingPage() const;
  /// Hashes of all pages that are still to be read, in page order and without duplicates.
  std::vector<std::string> MissingPages() const;
  /// Adds the page with this hash. Adds findings and returns false if `body` does not match the
  /// hash or is not a valid page.
  bool AddPage(const std::string& hash, const std::string& body, Findings* findings);
  /// Builds the snapshot. On any error, adds findings and returns null. Precondition: no page is
  /// missing.
  Snapshot::Ptr Finish(Findings* findings) const;

 private:
  ConfigHead head_;
  Snapshot::Ptr base_;
  ConfigPages pages_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CONFIG_HEAD_H_
