#ifndef CAMPHORHOIST_SYSTEM_TESTS_HTTP_H_
#define CAMPHORHOIST_SYSTEM_TESTS_HTTP_H_

#include <nlohmann/json.hpp>
#include <string>

#include "camphorhoist/net_address.h"
#include "libbase/http_client.h"

namespace camphorhoist {

/// Sends one request and waits for its response or failure.
HttpResponse Fetch(const NetAddress& server, HttpRequest request);
HttpResponse Fetch(const NetAddress& server, const std::string& method, const std::string& target,
                   const std::string& body = "");

/// Returns the JSON body of a response with status 200; fails the test on any other status.
nlohmann::json FetchJson(const NetAddress& server, const std::string& method,
                         const std::string& target, const std::string& body = "");

/// Sends `bytes` over a new TCP connection and returns everything received until the server closes
/// the connection or sends nothing for `idle_timeout_ms`. Sets `*closed`, if given, to whether the
/// server closed the connection.
std::string ExchangeBytes(const NetAddress& server, const std::string& bytes, int idle_timeout_ms,
                          bool* closed = nullptr);

void SendDatagram(const NetAddress& target, const std::string& bytes);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_SYSTEM_TESTS_HTTP_H_
