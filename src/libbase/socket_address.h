#ifndef CAMPHORHOIST_LIBBASE_SOCKET_ADDRESS_H_
#define CAMPHORHOIST_LIBBASE_SOCKET_ADDRESS_H_

#include <netinet/in.h>

#include "camphorhoist/net_address.h"

namespace camphorhoist {

/// Converts an address for use in socket calls.
///
/// Thread safety: safe to call from any thread.
sockaddr_in ToSockaddr(const NetAddress& address);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBBASE_SOCKET_ADDRESS_H_
