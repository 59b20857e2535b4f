#ifndef CAMPHORHOIST_LIBUPSTREAM_ANNOUNCEMENT_CODEC_H_
#define CAMPHORHOIST_LIBUPSTREAM_ANNOUNCEMENT_CODEC_H_

#include <string>

#include "camphorhoist/finding.h"
#include "libupstream/announcement.h"

namespace camphorhoist {

/// Upper limits of announced values. An upstream has about 6 to 12 slots and 110 to 130
/// connections; the limits are far above that and reject mistyped values.
inline constexpr int kMaxSlots = 10000;
inline constexpr int kMaxConnections = 100000;
inline constexpr size_t kMaxNameLength = 128;

/// Each `Parse` function parses a JSON object and adds every error to `findings`, with the field
/// name as the place. The result is valid only if no finding was added. Unknown fields are ignored,
/// so that newer upstreams can announce themselves to older nodes.
Announcement ParseAnnouncement(const std::string& text, Findings* findings);
UpstreamLoad ParseLoad(const std::string& text, Findings* findings);
/// Parses "address" and "instance" only.
Announcement ParseLeave(const std::string& text, Findings* findings);

/// Formats an announcement as JSON.
std::string FormatAnnouncement(const Announcement& announcement);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBUPSTREAM_ANNOUNCEMENT_CODEC_H_
