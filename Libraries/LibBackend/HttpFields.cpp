#include <LibBackend/EngineMessages.h>
#include <LibBackend/HttpFields.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace laburnum {

/// Hop-by-hop fields and those that this client sets itself.
static constexpr std::array<std::string_view, 13> ReservedFields = {
    "accept-encoding",
    "connection",
    "content-length",
    "expect",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-authorization"};

static std::string lowerCase(std::string Text) {
  std::transform(
      Text.begin(), Text.end(), Text.begin(),
      [](unsigned char Char) { return static_cast<char>(std::tolower(Char)); });
  return Text;
}

static bool isReservedField(std::string const &Name) {
  auto const Lower = lowerCase(Name);
  return Lower.starts_with("laburnum-") ||
         std::find(ReservedFields.begin(), ReservedFields.end(), Lower) !=
             ReservedFields.end();
}

static bool hasControls(std::string const &Text) {
  return std::any_of(Text.begin(), Text.end(), [](unsigned char Char) {
    return std::iscntrl(Char) != 0 && Char != '\t';
  });
}

static bool isToken(std::string const &Text) {
  return !Text.empty() &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char Char) {
           return std::isgraph(Char) != 0 && Char != ':';
         });
}

static bool isTarget(std::string const &Path) {
  return Path.starts_with('/') &&
         std::none_of(Path.begin(), Path.end(), [](unsigned char Char) {
           return std::iscntrl(Char) != 0 || Char == ' ';
         });
}

bool isSendable(PlainCall const &Call) {
  if (!isToken(Call.Method_) || !isTarget(Call.Path_))
    return false;
  if (Call.Key_ && hasControls(Call.Key_->text()))
    return false;
  return std::all_of(
      Call.Fields_.begin(), Call.Fields_.end(), [](HttpField const &Field) {
        return isToken(Field.Name_) && !hasControls(Field.Value_);
      });
}

static httplib::Headers attemptHeaders(RequestId const &Request,
                                       AttemptNumber Attempt) {
  return {{"Laburnum-Request-Id", Request.text()},
          {"Laburnum-Attempt", std::to_string(Attempt)},
          {"Accept-Encoding", "identity"}};
}

httplib::Request plainRequest(PlainCall const &Call) {
  httplib::Request Request;
  Request.method = Call.Method_;
  Request.path = Call.Path_;
  Request.headers = attemptHeaders(Call.Request_, Call.Attempt_);
  for (auto const &Field : Call.Fields_)
    if (!isReservedField(Field.Name_))
      Request.headers.emplace(Field.Name_, Field.Value_);
  if (Call.Key_)
    Request.headers.emplace("Idempotency-Key", Call.Key_->text());
  Request.body = Call.Body_;
  return Request;
}

static httplib::Request engineRequest(CompletionCall const &Call,
                                      std::string Path, std::string Body) {
  httplib::Request Request;
  Request.method = "POST";
  Request.path = std::move(Path);
  Request.headers = attemptHeaders(Call.Request_, Call.Attempt_);
  Request.headers.emplace("Content-Type", "application/json");
  Request.body = std::move(Body);
  return Request;
}

httplib::Request completionRequest(CompletionCall const &Call) {
  return engineRequest(Call, "/v1/completions", completionBody(Call));
}

httplib::Request cancelRequest(CompletionCall const &Call) {
  return engineRequest(Call, "/v1/cancel",
                       cancelBody(Call.Request_, Call.Attempt_));
}

bool hasCompleteBody(std::string const &Method,
                     httplib::Response const &Response,
                     ConnectionTrace const &Trace) {
  static constexpr int NoContent = 204;
  static constexpr int NotModified = 304;
  if (Method == "HEAD" || Response.status == NoContent ||
      Response.status == NotModified)
    return true;
  if (lowerCase(Response.get_header_value("Transfer-Encoding")) == "chunked")
    return Trace.endsWithEmptyLine();
  return Response.has_header("Content-Length");
}

} // namespace laburnum
