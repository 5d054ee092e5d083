#include <LibCallers/RequestReader.h>

#include <LibCallers/EventId.h>
#include <LibCore/Hash.h>
#include <LibServing/Authenticator.h>

#include <algorithm>
#include <charconv>

namespace laburnum {

namespace {

constexpr std::string_view ServicesPrefix = "/services/";
constexpr std::size_t MaxKeyBytes = 200;

/// Fields that are not forwarded to the backend server: hop-by-hop fields (RFC
/// 9110, section 7.6.1) and those for this system.
constexpr std::string_view NotForwarded[] = {"authorization",
                                             "connection",
                                             "content-length",
                                             "host",
                                             "idempotency-key",
                                             "keep-alive",
                                             "te",
                                             "trailer",
                                             "transfer-encoding",
                                             "upgrade",
                                             "expect",
                                             "accept-encoding"};

Error invalidArgument(std::string const &What, std::string const &Remedy) {
  return Error{ErrorKind::InvalidArgument, What, Remedy};
}

std::string lowerCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Letter) { return std::tolower(Letter); });
  return Text;
}

bool isForwarded(HttpField const &Field) {
  auto const Name = lowerCase(Field.Name_);
  if (Name.starts_with("laburnum-") || Name.starts_with("local_") ||
      Name.starts_with("remote_"))
    return false;
  return std::find(std::begin(NotForwarded), std::end(NotForwarded), Name) ==
         std::end(NotForwarded);
}

std::optional<std::int64_t> parseInteger(std::string const &Text) {
  std::int64_t Value = 0;
  auto const *End = Text.data() + Text.size();
  auto const Parsed = std::from_chars(Text.data(), End, Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Value;
}

Result<Duration> deadlineOf(CallerMessage const &Message,
                            RequestBounds const &Bounds) {
  auto const Field = Message.field("Laburnum-Deadline-Ms");
  if (!Field)
    return Bounds.DefaultDeadline_;
  auto const MaxMilliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Bounds.MaxDeadline_);
  auto const Value = parseInteger(*Field);
  if (!Value || *Value < 1 || *Value > MaxMilliseconds.count())
    return invalidArgument("the header Laburnum-Deadline-Ms is out of range",
                           "give whole milliseconds from 1 to " +
                               std::to_string(MaxMilliseconds.count()));
  return Duration(std::chrono::milliseconds(*Value));
}

Result<std::optional<IdempotencyKey>> keyOf(CallerMessage const &Message) {
  auto const Field = Message.field("Idempotency-Key");
  if (!Field)
    return std::optional<IdempotencyKey>();
  if (Field->empty() || Field->size() > MaxKeyBytes)
    return invalidArgument("the header Idempotency-Key is empty or too long",
                           "give 1 to " + std::to_string(MaxKeyBytes) +
                               " characters");
  return std::optional<IdempotencyKey>(IdempotencyKey(*Field));
}

/// The last token that the caller has: the one before the offset in
/// Laburnum-Resume-From, or else the event in Last-Event-ID (WHATWG HTML,
/// section 9.2.4). nullopt when it has none.
Result<std::optional<EventId>> lastEventOf(CallerMessage const &Message) {
  auto const ResumeFrom = Message.field("Laburnum-Resume-From");
  auto const Last = Message.field("Last-Event-ID");
  if (!ResumeFrom && !Last)
    return std::optional<EventId>();
  auto Id = parseEventId(ResumeFrom ? *ResumeFrom : *Last);
  if (!Id || (ResumeFrom && Id->Digest_))
    return invalidArgument("the offset to resume from is not a whole number",
                           "send the id of the last event that arrived");
  if (ResumeFrom && Id->Offset_ == 0)
    return std::optional<EventId>();
  if (ResumeFrom)
    --Id->Offset_;
  return Id;
}

Result<Service> permittedService(ServiceName const &Name, ServiceKind Kind,
                                 ClientAccount const &Account,
                                 Configuration const &InForce) {
  auto const *Found = InForce.service(Name);
  if (!Found || Found->Kind_ != Kind)
    return Error{ErrorKind::NotFound,
                 "there is no such service: " + Name.text(),
                 Kind == ServiceKind::Model
                     ? "name a model service in \"model\""
                     : "use /services/NAME/PATH with a plain service's name"};
  auto const Allowed = checkPermission(Account, Name);
  if (isError(Allowed))
    return errorOf(Allowed);
  return *Found;
}

/// The path of the target, without the query.
std::string pathOf(std::string const &Target) {
  return Target.substr(0, Target.find('?'));
}

Result<Success> fillPlain(CallerMessage const &Message,
                          ClientAccount const &Account,
                          Configuration const &InForce,
                          CallerRequest &Request) {
  auto const Rest = Message.Target_.substr(ServicesPrefix.size());
  auto const End = Rest.find_first_of("/?");
  Request.Service_ = ServiceName(Rest.substr(0, End));
  Request.Path_ = End == std::string::npos ? "/" : Rest.substr(End);
  if (Request.Path_.front() == '?')
    Request.Path_.insert(0, "/");
  auto const Found =
      permittedService(Request.Service_, ServiceKind::Plain, Account, InForce);
  if (isError(Found))
    return errorOf(Found);
  Request.Kind_ = ServiceKind::Plain;
  Request.Priority_ = valueOf(Found).Priority_;
  Request.Method_ = Message.Method_;
  Request.Body_ = Message.Body_;
  std::copy_if(Message.Fields_.begin(), Message.Fields_.end(),
               std::back_inserter(Request.Fields_), isForwarded);
  if (!isNonIdempotent(valueOf(Found), Request.Method_, Request.Path_))
    return Success{};
  Request.Idempotence_ = Idempotence::NonIdempotent;
  if (!Request.Key_)
    return invalidArgument(
        "this call must not run twice and has no Idempotency-Key",
        "send a header Idempotency-Key that is new for each action "
        "and the same when the action is sent again");
  return Success{};
}

Result<AnswerForm> fillCompletion(CompletionStyle Style,
                                  CallerMessage const &Message,
                                  ClientAccount const &Account,
                                  Configuration const &InForce,
                                  CallerRequest &Request) {
  auto const Body = parseCompletionBody(Style, Message.Body_);
  if (isError(Body))
    return errorOf(Body);
  auto const Last = lastEventOf(Message);
  if (isError(Last))
    return errorOf(Last);
  auto const Found = permittedService(valueOf(Body).Model_, ServiceKind::Model,
                                      Account, InForce);
  if (isError(Found))
    return errorOf(Found);
  Request.Kind_ = ServiceKind::Model;
  Request.Service_ = valueOf(Body).Model_;
  Request.Priority_ = valueOf(Found).Priority_;
  Request.Prompt_ = valueOf(Body).Prompt_;
  Request.MaxTokens_ = valueOf(Body).MaxTokens_;
  if (auto const &Id = valueOf(Last)) {
    Request.ResumeFrom_ = Id->Offset_ + 1;
    Request.ResumeDigest_ = Id->Digest_;
  }
  return AnswerForm{ServiceKind::Model, Style, valueOf(Body).Streaming_};
}

Result<AnswerForm> fillByPath(CallerMessage const &Message,
                              ClientAccount const &Account,
                              Configuration const &InForce,
                              CallerRequest &Request) {
  auto const Path = pathOf(Message.Target_);
  if (Path.starts_with(ServicesPrefix)) {
    auto const Filled = fillPlain(Message, Account, InForce, Request);
    if (isError(Filled))
      return errorOf(Filled);
    return AnswerForm{};
  }
  auto const IsText = Path == "/v1/completions";
  if (!IsText && Path != "/v1/chat/completions")
    return Error{ErrorKind::NotFound, "there is nothing at this path",
                 "use /v1/completions, /v1/chat/completions or "
                 "/services/NAME/PATH"};
  if (Message.Method_ != "POST")
    return invalidArgument("completions take the method POST only",
                           "send the request with POST");
  return fillCompletion(IsText ? CompletionStyle::Text : CompletionStyle::Chat,
                        Message, Account, InForce, Request);
}

/// A hash of the request's content, independent of its idempotency key.
std::uint64_t fingerprintOf(CallerRequest const &Request) {
  auto Hash = stableHash(Request.Service_.text());
  Hash = stableHash(Request.Method_, Hash);
  Hash = stableHash(Request.Path_, Hash);
  Hash = stableHash(Request.Body_, Hash);
  Hash = stableHash(std::to_string(Request.MaxTokens_), Hash);
  return stableHash(Request.Prompt_, Hash);
}

} // namespace

Result<ParsedRequest> parseRequest(CallerMessage const &Message,
                                   Configuration const &InForce,
                                   RequestBounds const &Bounds, RequestId Id,
                                   TimePoint Now) {
  auto const Account =
      authenticate(Message.field("Authorization").value_or(""), InForce);
  if (isError(Account))
    return errorOf(Account);
  auto const Allowed = deadlineOf(Message, Bounds);
  if (isError(Allowed))
    return errorOf(Allowed);
  auto const Key = keyOf(Message);
  if (isError(Key))
    return errorOf(Key);

  CallerRequest Request;
  Request.Id_ = std::move(Id);
  Request.Account_ = valueOf(Account).Name_;
  Request.Worth_ = valueOf(Account).Worth_;
  Request.Deadline_ = Now + valueOf(Allowed);
  Request.Key_ = valueOf(Key);
  auto const Form = fillByPath(Message, valueOf(Account), InForce, Request);
  if (isError(Form))
    return errorOf(Form);
  Request.Fingerprint_ = fingerprintOf(Request);
  return ParsedRequest{std::move(Request), valueOf(Form)};
}

} // namespace laburnum
