#include "libsidecar/http_text.h"

#include <http_parser.h>

#include "libcaller/http_headers.h"

namespace camphorhoist {

namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

bool IsFramingHeader(const std::string& name) {
  return HeaderNameEquals(name, "Content-Length") || HeaderNameEquals(name, "Expect");
}

void AppendHeaders(const HttpHeaders& headers, std::string* text) {
  for (const auto& it : headers) {
    if (IsFramingHeader(it.first)) continue;
    *text += it.first;
    *text += ": ";
    *text += it.second;
    *text += "\r\n";
  }
}

void Append(const std::string& text, evbuffer* output) {
  evbuffer_add(output, text.data(), text.size());
}

}  // namespace

void AppendRequest(const std::string& method, const std::string& target, const HttpHeaders& headers,
                   const std::string& body, evbuffer* output) {
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  AppendHeaders(WithoutHopByHop(headers), &text);
  const bool has_length = !body.empty() || method == "POST" || method == "PUT" || method == "PATCH";
  if (has_length) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  text += "\r\n";
  Append(text, output);
  if (!body.empty()) Append(body, output);
}

void AppendResponse(int status, const HttpHeaders& headers, const std::string& body, bool close,
                    evbuffer* output) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " " +
                     http_status_str(static_cast<http_status>(status)) + "\r\n";
  AppendHeaders(headers, &text);
  if (status != kNoContent && status != kNotModified) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  if (close) text += "Connection: close\r\n";
  text += "\r\n";
  Append(text, output);
  if (!body.empty()) Append(body, output);
}

}  // namespace camphorhoist
