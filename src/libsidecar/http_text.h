#ifndef CAMPHORHOIST_LIBSIDECAR_HTTP_TEXT_H_
#define CAMPHORHOIST_LIBSIDECAR_HTTP_TEXT_H_

#include <event2/buffer.h>

#include <string>

#include "libbase/http_client.h"

namespace camphorhoist {

/// Maximum bytes per read from a socket; with libevent's default of 16 KB a large body wakes the
/// process once per 16 KB.
inline constexpr size_t kSocketReadBytes = 128 << 10;

/// Appends a request. Hop-by-hop headers are dropped and Content-Length is generated.
void AppendRequest(const std::string& method, const std::string& target, const HttpHeaders& headers,
                   const std::string& body, evbuffer* output);

/// Appends a response with its complete body.
void AppendResponse(int status, const HttpHeaders& headers, const std::string& body, bool close,
                    evbuffer* output);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_HTTP_TEXT_H_
