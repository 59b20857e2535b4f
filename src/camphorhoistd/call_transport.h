#ifndef CAMPHORHOIST_CAMPHORHOISTD_CALL_TRANSPORT_H_
#define CAMPHORHOIST_CAMPHORHOISTD_CALL_TRANSPORT_H_

#include <cstdint>
#include <map>
#include <memory>

#include "libbase/mailbox.h"
#include "libnode/peer_pool.h"

namespace camphorhoist {

/// Sends attempts to the node of the chosen upstream: by RPC, or by a direct call if that node is
/// this process.
///
/// Thread safety: none; use on the loop's thread.
class CallTransport {
 public:
  using Handle = uint64_t;

  /// Preconditions: the pointers outlive the transport.
  CallTransport(event_base* base, NetAddress self, PeerPool* peers, NodeService* local_service);
  ~CallTransport();
  CallTransport(const CallTransport&) = delete;
  CallTransport& operator=(const CallTransport&) = delete;

  /// See `PeerPool::Call`. The handle is valid until `Cancel`, which must be called after `OnDone`
  /// as well.
  Handle Call(const NetAddress& node, bool bulk, const NodeCallRequest& request,
              ResponseHandler* handler);
  /// See `PeerPool::Cancel`.
  void Cancel(Handle handle);
  /// See `PeerPool::Resolve`.
  void Resolve(const NetAddress& node, const CallId& id, uint64_t target_incarnation,
               PeerPool::ResolveCallback callback);

 private:
  class LocalCall;
  struct Entry {
    PeerPool::CallHandle remote = 0;
    std::shared_ptr<LocalCall> local;
  };

  NetAddress self_;
  PeerPool* peers_;
  NodeService* local_service_;
  Handle next_handle_ = 1;
  std::map<Handle, Entry> calls_;
  Mailbox<std::function<void()>> deferred_;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_CAMPHORHOISTD_CALL_TRANSPORT_H_
