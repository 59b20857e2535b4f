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

/// Key of the head object in the platform.
extern const char kHeadObjectKey[];
/// Number of accepted change sets that the head remembers.
constexpr size_t kMaxRecentChangeSets = 128;

/// One accepted change set.
struct RecentChangeSet {
  std::string id;
  /// Configuration number of its acceptance.
  uint64_t number = 0;

  friend bool operator==(const RecentChangeSet& a, const RecentChangeSet& b) {
    return a.id == b.id && a.number == b.number;
  }
};

/// The object that decides which configuration is in force.
struct ConfigHead {
  ConfigVersion version;
  std::array<std::string, kPageCount> pages;
  /// Accepted change sets in ascending order of their numbers.
  std::vector<RecentChangeSet> recent_change_sets;
  /// Highest record schema in use.
  int schema = 1;

  /// The number at which the change set was accepted, if it is one of the recent ones.
  std::optional<uint64_t> AcceptedNumber(const std::string& change_set_id) const;
  /// True if `recent_change_sets` lists every acceptance from `number` up to `version`, so that a
  /// change set missing from it was not accepted in that range.
  bool ListsAllChangeSetsFrom(uint64_t number) const;
};

/// The head that puts `next` in force through the change set `id`. `recent` is taken over from the
/// head before; the oldest entries are dropped above `kMaxRecentChangeSets`.
ConfigHead MakeHead(const Snapshot& next, std::vector<RecentChangeSet> recent,
                    const std::string& id);

/// Encodes as JSON with sorted fields and no blanks; always below 1 MB.
std::string EncodeHead(const ConfigHead& head);
/// Adds findings and returns nothing if `text` is not a head in the form that `EncodeHead` writes.
std::optional<ConfigHead> DecodeHead(const std::string& text, const std::string& place,
                                     Findings* findings);

/// Collects the pages of a head, taking those that `base` already has from it.
///
/// Thread safety: none; use from one thread.
class SnapshotLoader {
 public:
  /// `base` may be null.
  SnapshotLoader(ConfigHead head, Snapshot::Ptr base);

  const ConfigHead& head() const { return head_; }
  /// Hash of a page that is still to be read; nothing once all are present.
  std::optional<std::string> NextMissingPage() const;
  /// All distinct hashes of pages that are still to be read, in page order.
  std::vector<std::string> MissingPages() const;
  /// Takes the body of the page with this hash. Adds findings and returns false if the body has
  /// another hash or is no valid page.
  bool AddPage(const std::string& hash, const std::string& body, Findings* findings);
  /// Builds the snapshot. Adds findings and returns null on any fault. Precondition: no page is
  /// missing.
  Snapshot::Ptr Finish(Findings* findings) const;

 private:
  ConfigHead head_;
  Snapshot::Ptr base_;
  ConfigPages pages_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CONFIG_HEAD_H_
