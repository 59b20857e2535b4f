#ifndef CAMPHORHOIST_LIBSIDECAR_HTTP_TEXT_H_
#define CAMPHORHOIST_LIBSIDECAR_HTTP_TEXT_H_

#include <event2/buffer.h>

#include <string>

#include "libbase/http_client.h"

namespace camphorhoist {

/// Bytes read from a socket at once; libevent's default of 16 KB costs a wake-up per piece of a
/// large body.
inline constexpr size_t kSocketReadBytes = 128 << 10;

/// Appends a request. Headers that concern one connection and Content-Length are written anew.
void AppendRequest(const std::string& method, const std::string& target, const HttpHeaders& headers,
                   const std::string& body, evbuffer* output);

/// Appends a response with the whole body.
void AppendResponse(int status, const HttpHeaders& headers, const std::string& body, bool close,
                    evbuffer* output);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_LIBSIDECAR_HTTP_TEXT_H_
