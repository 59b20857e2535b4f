#include "libbase/socket_address.h"

#include <arpa/inet.h>

namespace camphorhoist {

sockaddr_in ToSockaddr(const NetAddress& address) {
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(address.port());
  inet_pton(AF_INET, address.ip().c_str(), &name.sin_addr);
  return name;
}

}  // namespace camphorhoist
