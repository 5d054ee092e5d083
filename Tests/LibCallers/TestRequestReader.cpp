#include <LibCallers/RequestReader.h>

#include <LibModel/JsonCodec.h>

#include <catch2/catch.hpp>

using namespace laburnum;

namespace {

constexpr char Key[] = "a-key-of-an-account";

ConfigurationObject objectOf(ObjectKind Kind, std::string const &Name,
                             std::string Json) {
  return {{Kind, Name}, 1, false, std::move(Json)};
}

std::shared_ptr<Configuration const> makeConfiguration() {
  Service Desk;
  Desk.Name_ = ServiceName("desk");
  Desk.Priority_ = 3;
  Desk.NonIdempotentCalls_ = {{"POST", "/fees"}};
  Service Writer;
  Writer.Name_ = ServiceName("writer");
  Writer.Kind_ = ServiceKind::Model;
  ClientAccount Account;
  Account.Name_ = AccountName("stalls");
  Account.KeyDigest_ = keyDigest(Key);
  Account.Services_ = {ServiceName("desk"), ServiceName("writer")};
  Service Other;
  Other.Name_ = ServiceName("other");
  return Configuration::create(
      {objectOf(ObjectKind::Service, "desk", encodeJson(Desk)),
       objectOf(ObjectKind::Service, "writer", encodeJson(Writer)),
       objectOf(ObjectKind::Service, "other", encodeJson(Other)),
       objectOf(ObjectKind::Account, "stalls", encodeJson(Account))});
}

CallerMessage messageTo(std::string Method, std::string Target,
                        std::string Body = "") {
  return {std::move(Method),
          std::move(Target),
          {{"authorization", std::string("Bearer ") + Key}},
          std::move(Body)};
}

Result<ParsedRequest> read(CallerMessage const &Message) {
  return parseRequest(Message, *makeConfiguration(), RequestBounds{},
                      RequestId("r1"), TimePoint{});
}

ErrorKind kindOfRefusal(CallerMessage const &Message) {
  auto const Outcome = read(Message);
  REQUIRE(isError(Outcome));
  CHECK_FALSE(errorOf(Outcome).Remedy_.empty());
  return errorOf(Outcome).Kind_;
}

} // namespace

TEST_CASE("A plain call is parsed from its path") {
  auto Message = messageTo("GET", "/services/desk/status/7?full=1");
  Message.Fields_.push_back({"X-Fair", "aso"});
  Message.Fields_.push_back({"Connection", "keep-alive"});
  auto const Outcome = read(Message);
  REQUIRE_FALSE(isError(Outcome));
  auto const &Request = valueOf(Outcome).Request_;
  CHECK(Request.Service_ == ServiceName("desk"));
  CHECK(Request.Path_ == "/status/7?full=1");
  CHECK(Request.Priority_ == 3);
  CHECK(Request.Idempotence_ == Idempotence::Idempotent);
  CHECK(Request.Fields_ == std::vector<HttpField>{{"X-Fair", "aso"}});
}

TEST_CASE("A non-idempotent call needs an idempotency key") {
  CHECK(kindOfRefusal(messageTo("POST", "/services/desk/fees")) ==
        ErrorKind::InvalidArgument);
  auto Message = messageTo("POST", "/services/desk/fees");
  Message.Fields_.push_back({"Idempotency-Key", "k"});
  auto const Outcome = read(Message);
  REQUIRE_FALSE(isError(Outcome));
  CHECK(valueOf(Outcome).Request_.Idempotence_ == Idempotence::NonIdempotent);
}

TEST_CASE("The fingerprint depends on the content and not on the key") {
  auto First = messageTo("POST", "/services/desk/fees", "1");
  auto Second = First;
  First.Fields_.push_back({"Idempotency-Key", "k1"});
  Second.Fields_.push_back({"Idempotency-Key", "k2"});
  auto const One = valueOf(read(First)).Request_.Fingerprint_;
  CHECK(One == valueOf(read(Second)).Request_.Fingerprint_);
  Second.Body_ = "2";
  CHECK(One != valueOf(read(Second)).Request_.Fingerprint_);
}

TEST_CASE("A completion is parsed from its body") {
  auto Message = messageTo("POST", "/v1/chat/completions",
                           R"({"model":"writer","max_tokens":5,"stream":true,
      "messages":[{"role":"user","content":"hello"}]})");
  Message.Fields_.push_back({"Last-Event-ID", "41"});
  auto const Outcome = read(Message);
  REQUIRE_FALSE(isError(Outcome));
  auto const &Request = valueOf(Outcome).Request_;
  CHECK(Request.Prompt_ == "user: hello\n");
  CHECK(Request.MaxTokens_ == 5);
  CHECK(Request.ResumeFrom_ == 42);
  CHECK(valueOf(Outcome).Form_ ==
        AnswerForm{ServiceKind::Model, CompletionStyle::Chat, Streaming::Yes});
}

TEST_CASE("Invalid requests are rejected with an error kind and a remedy") {
  auto WrongKey = messageTo("GET", "/services/desk/x");
  WrongKey.Fields_ = {{"Authorization", "Bearer other"}};
  CHECK(kindOfRefusal(WrongKey) == ErrorKind::Unauthenticated);
  CHECK(kindOfRefusal({"GET", "/services/desk/x", {}, ""}) ==
        ErrorKind::Unauthenticated);
  CHECK(kindOfRefusal(messageTo("GET", "/services/nothing/x")) ==
        ErrorKind::NotFound);
  CHECK(kindOfRefusal(messageTo("GET", "/services/writer/x")) ==
        ErrorKind::NotFound);
  CHECK(kindOfRefusal(messageTo("GET", "/services/other/x")) ==
        ErrorKind::PermissionDenied);
  CHECK(kindOfRefusal(messageTo("GET", "/elsewhere")) == ErrorKind::NotFound);
  CHECK(kindOfRefusal(messageTo("GET", "/v1/completions")) ==
        ErrorKind::InvalidArgument);
  CHECK(kindOfRefusal(messageTo("POST", "/v1/completions", "{")) ==
        ErrorKind::InvalidArgument);
  CHECK(kindOfRefusal(messageTo("POST", "/v1/completions",
                                R"({"model":"writer","prompt":"x",
      "max_tokens":0})")) == ErrorKind::InvalidArgument);
}

TEST_CASE("An invalid deadline is rejected and a valid one is applied") {
  auto const Value = GENERATE("0", "-1", "1.5", "soon", "99999999999");
  auto Message = messageTo("GET", "/services/desk/x");
  Message.Fields_.push_back({"Laburnum-Deadline-Ms", Value});
  CHECK(kindOfRefusal(Message) == ErrorKind::InvalidArgument);

  Message.Fields_.back().Value_ = "250";
  CHECK(valueOf(read(Message)).Request_.Deadline_ ==
        TimePoint{} + std::chrono::milliseconds(250));
}
