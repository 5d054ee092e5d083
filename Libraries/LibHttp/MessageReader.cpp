#include <LibHttp/MessageReader.h>

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <limits>
#include <utility>

namespace laburnum {

namespace detail {

namespace http = boost::beast::http;
using ParserError = boost::beast::error_code;
using ParserText = boost::beast::string_view;

namespace {

std::string toText(ParserText Text) { return {Text.data(), Text.size()}; }

/// Returns whether HTTP has the status (RFC 9110, section 15), and a server may
/// answer with it: none was asked to switch protocols.
bool isAnswerStatus(int Status) {
  constexpr int SwitchingProtocols = 101;
  return Status >= 100 && Status <= 599 && Status != SwitchingProtocols;
}

bool framesBody(HeaderFields const &Fields) {
  return Fields.count("Content-Length") > 0 ||
         Fields.count("Transfer-Encoding") > 0;
}

MessageFault faultOf(ParserError Failure) {
  if (Failure == http::error::header_limit)
    return MessageFault::HeadTooLarge;
  if (Failure == http::error::body_limit)
    return MessageFault::BodyTooLarge;
  if (Failure == http::error::partial_message ||
      Failure == http::error::end_of_stream)
    return MessageFault::Truncated;
  return MessageFault::Malformed;
}

} // namespace

/// The common part of the request and the answer parser: fields, body, and
/// received bytes that are not parsed yet.
template <bool IsRequest>
class CommonParser : public http::basic_parser<IsRequest> {
public:
  explicit CommonParser(MessageBounds Bounds) : Bounds_(Bounds) {
    this->eager(true);
    this->header_limit(Bounds.HeadBytes_);
    this->body_limit(Bounds.BodyBytes_);
  }

  void feedBytes(std::string_view Bytes) {
    Pending_.append(Bytes);
    std::size_t Consumed = 0;
    while (Fault_ == MessageFault::None && !this->is_done() &&
           Consumed < Pending_.size()) {
      ParserError Failure;
      auto const Taken =
          this->put(boost::asio::const_buffer(Pending_.data() + Consumed,
                                              Pending_.size() - Consumed),
                    Failure);
      Consumed += Taken;
      if (Failure == http::error::need_more)
        break;
      if (Failure)
        Fault_ = faultOf(Failure);
      else if (Taken == 0)
        break;
    }
    Pending_.erase(0, Consumed);
    // The parser limits only the head. Chunk extensions and trailers stay in
    // Pending_ until they are complete, so they are limited here.
    if (Fault_ == MessageFault::None && !this->is_done() &&
        Pending_.size() > Bounds_.HeadBytes_)
      Fault_ = MessageFault::HeadTooLarge;
  }

  void end() {
    if (Fault_ != MessageFault::None || this->is_done())
      return;
    ParserError Failure;
    this->put_eof(Failure);
    if (Failure)
      Fault_ = faultOf(Failure);
    else if (!this->is_done())
      Fault_ = MessageFault::Truncated;
  }

  HeaderFields Fields_;
  std::string Body_;
  std::string Pending_;
  MessageBounds Bounds_;
  MessageFault Fault_ = MessageFault::None;

protected:
  void on_field_impl(http::field /*Field*/, ParserText Name, ParserText Value,
                     ParserError & /*Failure*/) override {
    // Trailer fields are not forwarded.
    if (!this->is_header_done())
      Fields_.add(toText(Name), toText(Value));
  }
  void on_body_init_impl(boost::optional<std::uint64_t> const & /*Length*/,
                         ParserError & /*Failure*/) override {}
  std::size_t on_body_impl(ParserText Body,
                           ParserError & /*Failure*/) override {
    Body_.append(Body.data(), Body.size());
    return Body.size();
  }
  void on_chunk_header_impl(std::uint64_t /*Size*/, ParserText /*Extensions*/,
                            ParserError & /*Failure*/) override {}
  std::size_t on_chunk_body_impl(std::uint64_t /*Remaining*/, ParserText Body,
                                 ParserError & /*Failure*/) override {
    Body_.append(Body.data(), Body.size());
    return Body.size();
  }
  void on_finish_impl(ParserError & /*Failure*/) override {}
};

class RequestParser : public CommonParser<true> {
public:
  using CommonParser::CommonParser;

  RequestHead Head_;

private:
  void on_request_impl(http::verb /*Verb*/, ParserText Method,
                       ParserText Target, int Version,
                       ParserError &Failure) override {
    constexpr int Http11 = 11;
    if (Version != Http11)
      Failure = http::error::bad_version;
    Head_.Method_ = toText(Method);
    Head_.Target_ = toText(Target);
  }
  void on_response_impl(int /*Status*/, ParserText /*Reason*/, int /*Version*/,
                        ParserError & /*Failure*/) override {}
  void on_header_impl(ParserError &Failure) override {
    Head_.Fields_ = std::move(Fields_);
    auto const &Fields = Head_.Fields_;
    auto const Encoding = Fields.find("Transfer-Encoding");
    bool const IsAmbiguous =
        Fields.count("Content-Length") > 1 ||
        Fields.valueOr("Content-Length").find(',') != std::string_view::npos ||
        Fields.count("Transfer-Encoding") > 1 ||
        (Encoding && (Fields.count("Content-Length") > 0 ||
                      !equalsIgnoringCase(*Encoding, "chunked")));
    if (IsAmbiguous)
      Failure = http::error::bad_transfer_encoding;
    // Every HTTP/1.1 request has exactly one Host field.
    else if (Fields.count("Host") != 1)
      Failure = http::error::bad_field;
  }
};

class AnswerParser : public CommonParser<false> {
public:
  AnswerParser(MessageBounds Bounds, std::string_view Method)
      : CommonParser(Bounds), Method_(Method) {
    this->skip(Method_ == "HEAD");
  }

  bool isInterim() const { return this->is_done() && hasInterimStatus(); }

  AnswerHead Head_;
  std::string Method_;

private:
  bool hasInterimStatus() const {
    constexpr std::int32_t FirstFinalStatus = 200;
    return Head_.Status_ < FirstFinalStatus;
  }
  void on_request_impl(http::verb /*Verb*/, ParserText /*Method*/,
                       ParserText /*Target*/, int /*Version*/,
                       ParserError & /*Failure*/) override {}
  void on_response_impl(int Status, ParserText /*Reason*/, int /*Version*/,
                        ParserError &Failure) override {
    Head_.Status_ = Status;
    if (!isAnswerStatus(Status))
      Failure = http::error::bad_status;
  }
  void on_header_impl(ParserError &Failure) override {
    Head_.Fields_ = std::move(Fields_);
    if (Head_.Fields_.count("Content-Length") > 1 ||
        Head_.Fields_.count("Transfer-Encoding") > 1 ||
        (hasInterimStatus() && framesBody(Head_.Fields_)))
      Failure = http::error::bad_transfer_encoding;
  }
};

} // namespace detail

namespace {

std::size_t heldBytesOf(HeaderFields const &Fields) {
  auto Bytes = Fields.all().capacity() * sizeof(HeaderField);
  for (auto const &Field : Fields.all())
    Bytes += Field.Name_.size() + Field.Value_.size();
  return Bytes;
}

/// Maximum number of interim answers to one request. Servers send at most one
/// or two.
constexpr std::uint32_t MaxInterim = 8;

} // namespace

RequestReader::RequestReader(MessageBounds Bounds)
    : Parser_(std::make_unique<detail::RequestParser>(Bounds)) {}
RequestReader::~RequestReader() = default;
RequestReader::RequestReader(RequestReader &&) noexcept = default;
RequestReader &RequestReader::operator=(RequestReader &&) noexcept = default;

void RequestReader::feed(std::string_view Bytes) { Parser_->feedBytes(Bytes); }
bool RequestReader::isHeadDone() const { return Parser_->is_header_done(); }
bool RequestReader::isDone() const { return Parser_->is_done(); }
MessageFault RequestReader::fault() const { return Parser_->Fault_; }
bool RequestReader::keepsAlive() const { return Parser_->keep_alive(); }
std::size_t RequestReader::heldBytes() const {
  return Parser_->Pending_.capacity() + Parser_->Body_.capacity() +
         heldBytesOf(Parser_->Fields_) + heldBytesOf(Parser_->Head_.Fields_);
}
RequestHead const &RequestReader::head() const { return Parser_->Head_; }
RequestHead RequestReader::takeHead() { return std::move(Parser_->Head_); }
std::string RequestReader::takeBody() {
  return std::exchange(Parser_->Body_, {});
}
std::string RequestReader::takeRest() {
  return std::exchange(Parser_->Pending_, {});
}

AnswerReader::AnswerReader(MessageBounds Bounds, std::string_view Method)
    : Parser_(std::make_unique<detail::AnswerParser>(Bounds, Method)) {}
AnswerReader::~AnswerReader() = default;
AnswerReader::AnswerReader(AnswerReader &&) noexcept = default;
AnswerReader &AnswerReader::operator=(AnswerReader &&) noexcept = default;

void AnswerReader::feed(std::string_view Bytes) {
  Parser_->feedBytes(Bytes);
  // An interim answer (100 Continue) precedes the final one.
  while (Parser_->isInterim() && Parser_->Fault_ == MessageFault::None) {
    if (++Interim_ > MaxInterim) {
      Parser_->Fault_ = MessageFault::Malformed;
      return;
    }
    auto const Rest = std::move(Parser_->Pending_);
    auto const Bounds = Parser_->Bounds_;
    auto const Method = Parser_->Method_;
    Parser_ = std::make_unique<detail::AnswerParser>(Bounds, Method);
    Parser_->feedBytes(Rest);
  }
}
void AnswerReader::endOfInput() { Parser_->end(); }
bool AnswerReader::isHeadDone() const { return Parser_->is_header_done(); }
bool AnswerReader::isDone() const { return Parser_->is_done(); }
MessageFault AnswerReader::fault() const { return Parser_->Fault_; }
bool AnswerReader::keepsAlive() const { return Parser_->keep_alive(); }
AnswerFraming AnswerReader::framing() const {
  return Parser_->need_eof() ? AnswerFraming::EndsWithConnection
                             : AnswerFraming::Delimited;
}
AnswerHead const &AnswerReader::head() const { return Parser_->Head_; }
std::string AnswerReader::takeBody() {
  return std::exchange(Parser_->Body_, {});
}
std::string AnswerReader::takeRest() {
  return std::exchange(Parser_->Pending_, {});
}

} // namespace laburnum
