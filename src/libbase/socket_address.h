#ifndef CAMPHORHOIST_LIBBASE_SOCKET_ADDRESS_H_
#define CAMPHORHOIST_LIBBASE_SOCKET_ADDRESS_H_

#include <netinet/in.h>

#include "camphorhoist/net_address.h"

namespace camphorhoist {

/// The address in the form of the socket calls. Thread safety: safe from any thread.
sockaddr_in ToSockaddr(const NetAddress& address);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBBASE_SOCKET_ADDRESS_H_
