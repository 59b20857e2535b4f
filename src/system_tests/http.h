#ifndef CAMPHORHOIST_SYSTEM_TESTS_HTTP_H_
#define CAMPHORHOIST_SYSTEM_TESTS_HTTP_H_

#include <nlohmann/json.hpp>
#include <string>

#include "camphorhoist/net_address.h"
#include "libbase/http_client.h"

namespace camphorhoist {

/// Sends one request and waits for its result.
HttpResponse Fetch(const NetAddress& server, HttpRequest request);
HttpResponse Fetch(const NetAddress& server, const std::string& method, const std::string& target,
                   const std::string& body = "");

/// JSON body of an answer with status 200; fails the test otherwise.
nlohmann::json FetchJson(const NetAddress& server, const std::string& method,
                         const std::string& target, const std::string& body = "");

/// Sends `bytes` over a new TCP connection and returns everything that comes back until the server
/// closes the connection, or is silent for `silence_ms`. `closed`, if given, tells which.
std::string ExchangeBytes(const NetAddress& server, const std::string& bytes, int silence_ms,
                          bool* closed = nullptr);

/// Sends one UDP datagram.
void SendDatagram(const NetAddress& target, const std::string& bytes);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_SYSTEM_TESTS_HTTP_H_
