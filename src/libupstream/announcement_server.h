#ifndef CAMPHORHOIST_LIBUPSTREAM_ANNOUNCEMENT_SERVER_H_
#define CAMPHORHOIST_LIBUPSTREAM_ANNOUNCEMENT_SERVER_H_

#include <string>
#include <system_error>
#include <vector>

#include "camphorhoist/finding.h"
#include "camphorhoist/net_address.h"
#include "libbase/event_ptr.h"
#include "libbase/mailbox.h"
#include "libupstream/announcement_table.h"

namespace camphorhoist {

/// HTTP server that receives announcements from upstreams:
///
/// - `POST /announce`: `{"service","address","slots","connections","state","instance",
///   "accepts_cancel"}`, repeated every second;
/// - `POST /leave`: `{"address","instance"}`;
/// - `POST /load`: `{"address","instance","load"}`, optionally `"running"` and `"queued"`.
///
/// Responds with 200 and `{"lapse_ms"}`, the time after which an announcement that is not renewed
/// expires; with 400 and `{"findings":[{"place","message"}]}`, all errors of the body; or with 409
/// and `{"reason"}` if the table rejects the message, for example because it is out of date.
/// Changes are posted to the mailbox; a renewal without a change posts nothing.
///
/// Thread safety: none; use on the thread of the event loop.
class AnnouncementServer {
 public:
  static constexpr int64_t kMaxBodyBytes = 64 << 10;
  static constexpr int64_t kMaxHeadBytes = 16 << 10;
  /// Interval at which expired announcements are removed.
  static constexpr std::chrono::milliseconds kExpiryCheckInterval{250};

  /// Preconditions: `base` and `mailbox` outlive the server.
  AnnouncementServer(event_base* base, Mailbox<UpstreamMessage>* mailbox);
  AnnouncementServer(const AnnouncementServer&) = delete;
  AnnouncementServer& operator=(const AnnouncementServer&) = delete;

  /// Starts to listen; port 0 selects a free port. Returns the system error. Call once. Any client
  /// that can reach the address can redirect callers' requests to any address, so it should be a
  /// loopback address.
  std::error_code Listen(const NetAddress& address = NetAddress("127.0.0.1", 0));

  /// The bound address with the actual port; empty before `Listen`.
  const NetAddress& address() const { return address_; }
  std::vector<Announcement> Entries() const { return table_.Entries(); }

 private:
  static void OnRequest(evhttp_request* req, void* arg);

  void Handle(evhttp_request* req);
  AnnouncementTable::Outcome Apply(const std::string& path, const std::string& body,
                                   Findings* findings);
  void Expire();
  void Post(std::vector<UpstreamMessage> messages);

  Mailbox<UpstreamMessage>* mailbox_;
  NetAddress address_;
  AnnouncementTable table_;
  Timer expire_timer_;
  EvhttpPtr http_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBUPSTREAM_ANNOUNCEMENT_SERVER_H_
