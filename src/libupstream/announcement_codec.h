#ifndef CAMPHORHOIST_LIBUPSTREAM_ANNOUNCEMENT_CODEC_H_
#define CAMPHORHOIST_LIBUPSTREAM_ANNOUNCEMENT_CODEC_H_

#include <string>

#include "camphorhoist/finding.h"
#include "libupstream/announcement.h"

namespace camphorhoist {

/// Limits of announced values. One upstream has about 6 to 12 slots and 110 to 130 connections; the
/// limits leave room and keep a mistyped value out.
inline constexpr int kMaxSlots = 10000;
inline constexpr int kMaxConnections = 100000;
inline constexpr size_t kMaxNameLength = 128;

/// Each function reads a JSON object, adds all faults to `findings` with the field's name as the
/// place, and returns a value that is usable only if none was added. Unknown fields are ignored, so
/// that newer upstreams can announce to older nodes.
Announcement ParseAnnouncement(const std::string& text, Findings* findings);
UpstreamLoad ParseLoad(const std::string& text, Findings* findings);
/// Reads "address" and "instance" only.
Announcement ParseLeave(const std::string& text, Findings* findings);

/// The JSON form of an announcement.
std::string FormatAnnouncement(const Announcement& announcement);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBUPSTREAM_ANNOUNCEMENT_CODEC_H_
