#include "libsidecar/control_server.h"

#include <utility>

namespace camphorhoist {

ControlServer::ControlServer(event_base* base, Handler handler)
    : handler_(std::move(handler)), http_(evhttp_new(base)) {
  evhttp_set_max_body_size(http_.get(), kMaxBodyBytes);
  evhttp_set_allowed_methods(http_.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST);
  evhttp_set_gencb(http_.get(), &ControlServer::OnRequest, this);
}

bool ControlServer::Start(const NetAddress& address) {
  return evhttp_bind_socket(http_.get(), address.ip().c_str(), address.port()) == 0;
}

void ControlServer::OnRequest(evhttp_request* req, void* arg) {
  ControlRequest request;
  request.post = evhttp_request_get_command(req) == EVHTTP_REQ_POST;
  request.path = evhttp_request_get_uri(req);
  evbuffer* body = evhttp_request_get_input_buffer(req);
  request.body.resize(evbuffer_get_length(body));
  evbuffer_remove(body, request.body.data(), request.body.size());
  const ControlResponse response = static_cast<ControlServer*>(arg)->handler_(request);
  evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type",
                    response.content_type.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(req), response.body.data(), response.body.size());
  evhttp_send_reply(req, response.status, nullptr, nullptr);
}

}  // namespace camphorhoist
