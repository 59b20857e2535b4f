#include "libupstream/response_parser.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>

#include "libcaller/http_headers.h"

namespace camphorhoist {

namespace {

// 15 hexadecimal digits keep the size below 2^60, so that it cannot overflow.
constexpr size_t kMaxChunkSizeDigits = 15;

std::string TrimValue(const std::string& text) {
  const size_t first = text.find_first_not_of(" \t");
  if (first == std::string::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::optional<int64_t> ParseChunkSize(const std::string& line) {
  size_t digits = 0;
  while (digits < line.size() && std::isxdigit(static_cast<unsigned char>(line[digits])) != 0) {
    ++digits;
  }
  if (digits == 0 || digits > kMaxChunkSizeDigits) return std::nullopt;
  const std::string rest = TrimValue(line.substr(digits));
  if (!rest.empty() && rest[0] != ';') return std::nullopt;
  return static_cast<int64_t>(std::strtoll(line.substr(0, digits).c_str(), nullptr, 16));
}

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

}  // namespace

ResponseParser::Step ResponseParser::Next(evbuffer* input) {
  if (!error_.empty()) return Step::kMalformed;
  switch (state_) {
    case State::kStatusLine:
      return ReadStatusLine(input);
    case State::kHeaders:
      return ReadHeaders(input);
    case State::kBody:
      return ReadBody(input);
    case State::kChunkSize:
      return ReadChunkSize(input);
    case State::kChunkData:
      return ReadRemaining(input);
    case State::kChunkEnd:
      return ReadChunkEnd(input);
    case State::kTrailer:
      return ReadTrailer(input);
    case State::kUntilClose:
      return ReadUntilClose(input);
    case State::kDone:
      return Step::kComplete;
  }
  return Step::kMalformed;
}

ResponseParser::Step ResponseParser::Fail(const std::string& error) {
  error_ = error;
  keep_alive_ = false;
  return Step::kMalformed;
}

bool ResponseParser::ReadLine(evbuffer* input, size_t limit, std::string* line, Step* step) {
  size_t eol_bytes = 0;
  const evbuffer_ptr eol = evbuffer_search_eol(input, nullptr, &eol_bytes, EVBUFFER_EOL_CRLF);
  const bool has_eol = eol.pos >= 0;
  const size_t size = has_eol ? static_cast<size_t>(eol.pos) : evbuffer_get_length(input);
  // One byte more is allowed without an end of line, since the last byte may be the CR of a CRLF
  // that is not complete yet.
  if (size > (has_eol ? limit : limit + 1)) {
    *step = Fail("a line exceeds " + std::to_string(limit) + " bytes");
    return false;
  }
  if (!has_eol) {
    *step = Step::kNeedMore;
    return false;
  }
  line->resize(size);
  evbuffer_remove(input, line->data(), size);
  evbuffer_drain(input, eol_bytes);
  return true;
}

ResponseParser::Step ResponseParser::ReadStatusLine(evbuffer* input) {
  std::string line;
  Step step = Step::kNeedMore;
  if (!ReadLine(input, kMaxHeadBytes, &line, &step)) return step;
  const bool known_version = line.rfind("HTTP/1.1 ", 0) == 0 || line.rfind("HTTP/1.0 ", 0) == 0;
  const bool has_status = line.size() >= 12 && std::all_of(&line[9], &line[12], IsDigit) &&
                          (line.size() == 12 || line[12] == ' ');
  if (!known_version || !has_status || line[9] < '1' || line[9] > '5') {
    return Fail("the status line is malformed");
  }
  http_1_1_ = line[7] == '1';
  status_ = std::atoi(line.substr(9, 3).c_str());
  head_bytes_ += line.size();
  if (head_bytes_ > kMaxHeadBytes) return Fail("the head exceeds 65536 bytes");
  headers_.clear();
  state_ = State::kHeaders;
  return ReadHeaders(input);
}

ResponseParser::Step ResponseParser::ReadHeaders(evbuffer* input) {
  while (true) {
    std::string line;
    Step step = Step::kNeedMore;
    if (!ReadLine(input, kMaxHeadBytes, &line, &step)) return step;
    head_bytes_ += line.size();
    if (head_bytes_ > kMaxHeadBytes) return Fail("the head exceeds 65536 bytes");
    if (line.empty()) break;
    if (!ReadHeaderLine(line)) return Fail("a header line is malformed");
  }
  if (status_ == 101) return Fail("the upstream switched protocols");
  if (status_ < 200) {
    // Skip an interim response (1xx); the final response follows.
    state_ = State::kStatusLine;
    return ReadStatusLine(input);
  }
  return FinishHead();
}

bool ResponseParser::ReadHeaderLine(const std::string& line) {
  const size_t colon = line.find(':');
  if (colon == std::string::npos) return false;
  const std::string name = line.substr(0, colon);
  const std::string value = TrimValue(line.substr(colon + 1));
  if (!IsValidHeader(name, value)) return false;
  headers_.emplace_back(name, value);
  return true;
}

ResponseParser::Step ResponseParser::FinishHead() {
  const ContentLength length = ReadContentLength(headers_);
  const std::optional<std::string> encoding = FindHeader(headers_, "Transfer-Encoding");
  if (!length.valid) return Fail("Content-Length is not one decimal number");
  if (encoding && length.value) {
    return Fail("Content-Length and Transfer-Encoding exclude each other");
  }
  if (encoding && !HeaderNameEquals(*encoding, "chunked")) {
    return Fail("the Transfer-Encoding is not chunked");
  }
  keep_alive_ = http_1_1_ ? !HasHeaderToken(headers_, "Connection", "close")
                          : HasHeaderToken(headers_, "Connection", "keep-alive");
  content_length_ = length.value;
  chunked_ = encoding.has_value();
  if (no_body_ || status_ == 204 || status_ == 304) {
    state_ = State::kDone;
  } else if (chunked_) {
    state_ = State::kChunkSize;
  } else if (content_length_) {
    remaining_ = *content_length_;
    state_ = remaining_ == 0 ? State::kDone : State::kBody;
  } else if (unframed_ == Unframed::kUntilClose) {
    keep_alive_ = false;
    state_ = State::kUntilClose;
  } else {
    return Fail(
        "the response has neither Content-Length nor chunked encoding, so its end is unknown");
  }
  return Step::kHead;
}

ResponseParser::Step ResponseParser::ReadRemaining(evbuffer* input) {
  const size_t available = std::min(evbuffer_get_length(input), kMaxDataBytes);
  if (available == 0) return Step::kNeedMore;
  const size_t size = std::min(available, static_cast<size_t>(remaining_));
  data_.resize(size);
  evbuffer_remove(input, data_.data(), size);
  remaining_ -= static_cast<int64_t>(size);
  if (remaining_ == 0) state_ = chunked_ ? State::kChunkEnd : State::kDone;
  return Step::kBodyData;
}

ResponseParser::Step ResponseParser::ReadUntilClose(evbuffer* input) {
  const size_t size = std::min(evbuffer_get_length(input), kMaxDataBytes);
  if (size == 0) return Step::kNeedMore;
  data_.resize(size);
  evbuffer_remove(input, data_.data(), size);
  return Step::kBodyData;
}

bool ResponseParser::OnClose() {
  if (!error_.empty() || state_ != State::kUntilClose) return false;
  state_ = State::kDone;
  return true;
}

ResponseParser::Step ResponseParser::ReadBody(evbuffer* input) { return ReadRemaining(input); }

ResponseParser::Step ResponseParser::ReadChunkSize(evbuffer* input) {
  std::string line;
  Step step = Step::kNeedMore;
  if (!ReadLine(input, kMaxChunkLineBytes, &line, &step)) return step;
  const std::optional<int64_t> size = ParseChunkSize(line);
  if (!size) return Fail("a chunk size is malformed");
  remaining_ = *size;
  state_ = remaining_ == 0 ? State::kTrailer : State::kChunkData;
  return Next(input);
}

ResponseParser::Step ResponseParser::ReadChunkEnd(evbuffer* input) {
  std::string line;
  Step step = Step::kNeedMore;
  if (!ReadLine(input, 0, &line, &step)) {
    if (step == Step::kMalformed) error_ = "a chunk is longer than its declared size";
    return step;
  }
  state_ = State::kChunkSize;
  return ReadChunkSize(input);
}

// Reads the trailer fields and discards them unparsed.
ResponseParser::Step ResponseParser::ReadTrailer(evbuffer* input) {
  while (true) {
    std::string line;
    Step step = Step::kNeedMore;
    if (!ReadLine(input, kMaxHeadBytes, &line, &step)) return step;
    if (line.empty()) break;
    head_bytes_ += line.size();
    if (head_bytes_ > kMaxHeadBytes) return Fail("head and trailers exceed 65536 bytes");
  }
  state_ = State::kDone;
  return Step::kComplete;
}

}  // namespace camphorhoist
