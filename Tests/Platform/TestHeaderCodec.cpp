#include <HeaderCodec.h>

#include <LibTraffic/AccountQuotaLimiter.h>

#include <catch2/catch.hpp>

using namespace laburnum;
using platform::HeaderCodec;

namespace {

HeaderCodec const Codec;

RequestHead
requestWith(std::vector<std::pair<std::string, std::string>> const &Fields) {
  RequestHead Head{"POST", "/p/x?q", {}};
  for (auto const &[Name, Value] : Fields)
    Head.Fields_.add(Name, Value);
  return Head;
}

RequestHead request() {
  RequestHead Head{"POST", "/p/x?q", {}};
  for (auto const &[Name, Value] :
       std::vector<std::pair<std::string, std::string>>{
           {"Host", "h"},
           {"X-Attempt-Id", "id1"},
           {"X-Key", "secret"},
           {"X-Deadline-Ms", "12000"},
           {"X-Token-Counts", "1460,80"},
           {"X-Prompt-Prefix", "5c:800,91:410,e4:250"},
           {"Last-Event-Id", "12"},
           {"X-Tenant", "forged"},
           {"X-Hold", "h1"},
           {"X-Pin-Ms", "4000"},
           {"X-Kv-Backup", "10.0.0.1:80"},
           {"Kv-From", "10.0.0.1:80/x"},
           {"X-Expect-Instance", "forged"},
           {"Connection", "keep-alive, X-Hop"},
           {"X-Hop", "1"},
           {"Content-Length", "5"},
           {"X-Other", "stays"}})
    Head.Fields_.add(Name, Value);
  return Head;
}

AnswerHead answer(std::int32_t Status,
                  std::vector<std::pair<std::string, std::string>> Fields) {
  AnswerHead Head{Status, {}};
  for (auto const &[Name, Value] : Fields)
    Head.Fields_.add(Name, Value);
  return Head;
}

} // namespace

TEST_CASE("A client's request is decoded") {
  auto const Decoded = Codec.decode(request());
  REQUIRE_FALSE(isError(Decoded));
  auto const &Metadata = valueOf(Decoded);
  CHECK(Metadata.AttemptId_ == "id1");
  CHECK(Metadata.Key_ == "secret");
  CHECK(Metadata.TimeAllowed_ == std::chrono::milliseconds(12000));
  CHECK(Metadata.Tokens_ == TokenCounts{1460, 80});
  CHECK(Metadata.SharedPrefix_ == "5c:800,91:410");
  CHECK(Metadata.SharedParts_ == std::vector<std::string>{"5c", "91"});
  CHECK(Metadata.LastEventId_ == 12);
}

TEST_CASE("A request that takes a stream up again names the attempt that began "
          "it") {
  auto Head = request();
  Head.Fields_.remove("Last-Event-Id");
  CHECK_FALSE(valueOf(Codec.decode(Head)).TakesUpStream_);
  Head.Fields_.add("Resumes", "id0");
  auto const Named = valueOf(Codec.decode(Head));
  CHECK(Named.TakesUpStream_);
  CHECK(Named.FirstAttemptId_ == "id0");
  Head.Fields_.add("Resumes", "id9");
  CHECK(valueOf(Codec.decode(Head)).FirstAttemptId_.empty());
}

TEST_CASE("A request without exactly one attempt identifier is rejected") {
  auto Head = request();
  SECTION("none") { Head.Fields_.remove("X-Attempt-Id"); }
  SECTION("two") { Head.Fields_.add("x-attempt-id", "id2"); }
  CHECK(isError(Codec.decode(Head)));
}

TEST_CASE("A server gets the client's fields and this system's own only") {
  auto const Sent = Codec.encode(request(), {ServerId("i-1"),
                                             AccountName("acc"),
                                             std::chrono::microseconds(1500400),
                                             std::uint64_t{14},
                                             {},
                                             {}});
  auto const &Fields = Sent.Fields_;
  CHECK(Sent.Method_ == "POST");
  CHECK(Sent.Target_ == "/p/x?q");
  CHECK(Fields.valueOr("X-Attempt-Id") == "id1");
  CHECK(Fields.valueOr("X-Token-Counts") == "1460,80");
  CHECK(Fields.valueOr("X-Other") == "stays");
  CHECK(Fields.valueOr("X-Deadline-Ms") == "1500");
  CHECK(Fields.valueOr("X-Expect-Instance") == "i-1");
  CHECK(Fields.valueOr("X-Tenant") == "acc");
  CHECK(Fields.valueOr("Last-Event-Id") == "14");
  for (auto const *Name : {"X-Key", "X-Hold", "X-Pin-Ms", "X-Kv-Backup",
                           "Kv-From", "Connection", "X-Hop", "Content-Length"})
    CHECK_FALSE(Fields.find(Name));
  for (auto const *Name : {"X-Expect-Instance", "X-Tenant", "X-Deadline-Ms"})
    CHECK(Fields.count(Name) == 1);
}

TEST_CASE(
    "On an anonymous route no account is named, whatever the client says") {
  auto const Sent =
      Codec.encode(request(), {ServerId("i-1"), {}, {}, {}, {}, {}});
  CHECK_FALSE(Sent.Fields_.find("X-Tenant"));
}

TEST_CASE("An answer claims whether its request has run") {
  auto const Claim = [](AnswerHead const &Head) {
    return Codec.decode(Head).Claim_;
  };
  CHECK(Claim(answer(200, {{"X-Server-Stamp", "s"}})) ==
        AnswerClaim::Succeeded);
  CHECK(Claim(answer(200, {})) == AnswerClaim::Untrusted);
  CHECK(Claim(answer(
            200, {{"X-Server-Stamp", "s"}, {"Content-Encoding", "gzip"}})) ==
        AnswerClaim::Untrusted);
  CHECK(Claim(answer(503, {{"X-Not-Executed", "1"}})) == AnswerClaim::NotRun);
  CHECK(Claim(answer(421, {})) == AnswerClaim::NotRun);
  CHECK(Codec.decode(answer(421, {})).IsOtherServer_);
  CHECK(Claim(answer(503, {})) == AnswerClaim::Failed);
  CHECK(Claim(answer(500, {{"X-Server-Stamp", "s"}})) == AnswerClaim::Failed);
  // A success with X-Not-Executed contradicts itself and is untrusted.
  CHECK(Claim(answer(200, {{"X-Not-Executed", "1"}})) ==
        AnswerClaim::Untrusted);
}

TEST_CASE("An answer is matched by the identifier that it echoes") {
  CHECK(Codec.match(answer(200, {{"X-Attempt-Id", "id1"}}), "id1") ==
        AnswerMatch::Ours);
  CHECK(Codec.match(answer(200, {{"X-Attempt-Id", "id0"}}), "id1") ==
        AnswerMatch::AnotherRequest);
  CHECK(Codec.match(answer(503, {}), "id1") == AnswerMatch::Unidentified);
}

TEST_CASE("A server's load is decoded, and an invalid one ignored") {
  CHECK(Codec.decode(answer(200, {{"X-Instance-Load", "3,1,8"}})).Load_ ==
        ServerLoad{3, 1, 8});
  for (auto const *Text : {"3,1", "a,b,c", "3,1,8,9,9", "-1,0,8", ""})
    CHECK_FALSE(Codec.decode(answer(200, {{"X-Instance-Load", Text}})).Load_);
}

TEST_CASE("A server's load may state its speed at the moment") {
  auto const Load = [](std::string const &Text) {
    return Codec.decode(answer(200, {{"X-Instance-Load", Text}})).Load_;
  };
  CHECK(Load("3,1,8,250") == ServerLoad{3, 1, 8, 2.5});
  CHECK(Load("3,1,8,100") == ServerLoad{3, 1, 8});
  CHECK(Load("3,1,8,0.001") == ServerLoad{3, 1, 8, 0.1});
  CHECK(Load("3,1,8,9999999") == ServerLoad{3, 1, 8, 100.0});
  // A figure that cannot be meant leaves the others as they are.
  for (auto const *Text :
       {"3,1,8,0", "3,1,8,-50", "3,1,8,slow", "3,1,8,nan", "3,1,8,"})
    CHECK(Load(Text) == ServerLoad{3, 1, 8});
}

TEST_CASE("The tokens of the parts that a prompt shares are decoded") {
  auto const Shared = [](std::string const &Prefix) {
    auto const Head = requestWith({{"X-Attempt-Id", "id1"},
                                   {"X-Token-Counts", "1460,80"},
                                   {"X-Prompt-Prefix", Prefix}});
    return workOf(valueOf(Codec.decode(Head)))->SharedTokens_;
  };
  CHECK(Shared("5c1e:800,91bd:410,e440:250") == 1210);
  CHECK(Shared("e440:250") == 0);
  CHECK(Shared("") == 0);
  for (auto const *Text : {"5c1e:many,91bd:410,e4:2", "5c1e,91bd:410,e4:2",
                           "5c1e:-3,91bd:410,e4:2", ",91bd:410,e4:2"})
    CHECK(Shared(Text) == 410);
}

// Guards against counts whose sum wraps around, so that the request is charged
// nothing.
TEST_CASE("A request that states more tokens than any engine can hold is "
          "charged for as many as can be stated") {
  auto const Charge = [](std::string const &Counts) {
    auto const Tokens =
        valueOf(Codec.decode(requestWith(
                    {{"X-Attempt-Id", "id1"}, {"X-Token-Counts", Counts}})))
            .Tokens_;
    REQUIRE(Tokens);
    return quotaCost({QuotaUnit::Tokens, 500.0, 600.0, 200.0},
                     Tokens->Prompt_ + Tokens->MaxOutput_);
  };
  constexpr double Max = 4294967296.0;
  CHECK(Charge("4294967296,4294967296") == 2 * Max);
  CHECK(Charge("4294967295,1") == Max);
  for (auto const *Text :
       {"4294967297,1", "18446744073709551615,1", "18446744073709551616,1",
        "99999999999999999999999999,1", "1,18446744073709551615",
        "1,99999999999999999999999999"})
    CHECK(Charge(Text) == Max + 1);
  CHECK(Charge("18446744073709551615,18446744073709551615") == 2 * Max);
}

TEST_CASE("Token counts that are no numbers are not taken for any") {
  for (auto const *Text :
       {"", "1460", ",", "1460,", ",80", "-1,80", "1460,80,3", "1460,many",
        "99999999999999999999999999x,80", "1460, 80"})
    CHECK_FALSE(valueOf(Codec.decode(requestWith({{"X-Attempt-Id", "id1"},
                                                  {"X-Token-Counts", Text}})))
                    .Tokens_);
}

TEST_CASE("A server is told the priority of a request only if there is one") {
  AttemptMetadata Attempt;
  auto const Received =
      requestWith({{"X-Attempt-Id", "id1"}, {"X-Request-Priority", "0"}});
  CHECK_FALSE(
      Codec.encode(Received, Attempt).Fields_.find("X-Request-Priority"));
  Attempt.ServerPriority_ = 4;
  CHECK(Codec.encode(Received, Attempt).Fields_.valueOr("X-Request-Priority") ==
        "4");
}

TEST_CASE("A refusal carries Retry-After") {
  auto const Head = Codec.refusal(503, std::chrono::milliseconds(450), "id1");
  CHECK(Head.Fields_.valueOr("Retry-After") == "0.450");
  CHECK_FALSE(
      Codec.refusal(502, std::nullopt, "id1").Fields_.find("Retry-After"));
}

TEST_CASE("Any answer can announce that its server is leaving") {
  for (auto const Status : {200, 500, 503})
    CHECK(Codec.decode(answer(Status, {{"Server-Leaving", "1"}})).IsLeaving_);
  CHECK_FALSE(Codec.decode(answer(200, {{"Connection", "close"}})).IsLeaving_);
  CHECK_FALSE(Codec.decode(answer(200, {{"Server-Leaving", "0"}})).IsLeaving_);
  // The field of another server at the address does not concern this one.
  CHECK_FALSE(Codec.decode(answer(421, {{"Server-Leaving", "1"}})).IsLeaving_);
}

TEST_CASE("A server that rejects a request may request a backoff") {
  using std::chrono::hours;
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  auto const [Text, Backoff] = GENERATE(table<std::string, BackoffRequest>(
      {{"3", {seconds(3), BackoffSource::AsRequested}},
       {"0.25", {milliseconds(250), BackoffSource::AsRequested}},
       {"0", {seconds(0), BackoffSource::AsRequested}},
       {"-2", {seconds(1), BackoffSource::Default}},
       {"soon", {seconds(1), BackoffSource::Default}},
       {"", {seconds(1), BackoffSource::Default}},
       {"nan", {seconds(1), BackoffSource::Default}},
       {"inf", {hours(1), BackoffSource::Bounded}},
       {"1e300", {hours(1), BackoffSource::Bounded}}}));
  CAPTURE(Text);
  CHECK(Codec.decode(answer(503, {{"Retry-After", Text}})).Backoff_ == Backoff);
}

TEST_CASE("Only a 503 answer can request a backoff") {
  CHECK_FALSE(Codec.decode(answer(503, {})).Backoff_);
  CHECK_FALSE(Codec.decode(answer(200, {{"Retry-After", "3"}})).Backoff_);
  CHECK_FALSE(Codec.decode(answer(429, {{"Retry-After", "3"}})).Backoff_);
}

TEST_CASE("Any answer of the server itself can state its rate limit") {
  for (auto const Status : {200, 500, 503})
    CHECK(Codec.decode(answer(Status, {{"Server-Limit", "2.25"}})).RateLimit_ ==
          RateLimitStatement{2.25, "2.25"});
  CHECK_FALSE(Codec.decode(answer(200, {})).RateLimit_);
  CHECK_FALSE(Codec.decode(answer(421, {{"Server-Limit", "2"}})).RateLimit_);
}

TEST_CASE("A client's deadline that is far away is not taken for one that has "
          "passed") {
  auto const *const Text = GENERATE("18446744073709551615",
                                    "9223372036854775807", "9223372036854776");
  RequestHead Head{"GET", "/", {}};
  Head.Fields_.add("X-Attempt-Id", "a");
  Head.Fields_.add("X-Deadline-Ms", Text);
  auto const Decoded = Codec.decode(Head);
  REQUIRE_FALSE(isError(Decoded));
  REQUIRE(valueOf(Decoded).TimeAllowed_);
  CHECK(*valueOf(Decoded).TimeAllowed_ >= std::chrono::hours(1));
}

TEST_CASE("A brittle server states how many refusals it stands") {
  AnswerHead Head{200, {}};
  CHECK_FALSE(Codec.decode(Head).MaxRefusalsPerSecond_);
  auto const [Text, Expected] =
      GENERATE(table<std::string, double>({{"6", 6.0},
                                           {"0", 0.0},
                                           {"-1", 0.0},
                                           {"many", 0.0},
                                           {"", 0.0},
                                           {"nan", 0.0},
                                           {"-nan", 0.0}}));
  Head.Fields_.add("Server-Brittle", Text);
  CHECK(Codec.decode(Head).MaxRefusalsPerSecond_ == Expected);
  Head.Status_ = 421;
  CHECK_FALSE(Codec.decode(Head).MaxRefusalsPerSecond_);
}

TEST_CASE("A rate limit that is no single finite number of at least zero is "
          "unreadable") {
  CHECK(Codec.decode(answer(200, {{"Server-Limit", "0"}})).RateLimit_ ==
        RateLimitStatement{0.0, "0"});
  for (std::string const Text : {"", "-1", "few", "nan", "inf", "1e999", "2,3",
                                 "2.3/s", "0x10", "2 3"}) {
    CAPTURE(Text);
    CHECK(Codec.decode(answer(200, {{"Server-Limit", Text}})).RateLimit_ ==
          RateLimitStatement{std::nullopt, Text});
  }
  auto const Twice =
      answer(200, {{"Server-Limit", "2"}, {"server-limit", "9"}});
  CHECK_FALSE(Codec.decode(Twice).RateLimit_->RequestsPerSecond_);
  auto const Long = answer(200, {{"Server-Limit", std::string(9000, 'x')}});
  CHECK(Codec.decode(Long).RateLimit_->Text_.size() == 40);
}

TEST_CASE("A begun stream is passed on with its last event, its first attempt "
          "and its origin") {
  AttemptMetadata Attempt;
  Attempt.TimeLeft_ = std::chrono::milliseconds(700);
  Attempt.LastEventId_ = 17;
  Attempt.FirstAttemptId_ = "id1";
  Attempt.Origin_ = StreamOrigin{ServiceName("writer"), "v 2"};
  auto Received = request();
  Received.Fields_.add("Laburnum-Stream-Origin", "forged/v9");
  auto const Head = Codec.encodeForPeer(Received, Attempt);
  CHECK(Head.Fields_.valueOr("X-Key") == "secret");
  CHECK(Head.Fields_.valueOr("X-Deadline-Ms") == "700");
  SECTION("to an instance of this release") {
    auto const Metadata = valueOf(Codec.decodeFromPeer(Head));
    CHECK(Metadata.LastEventId_ == 17);
    CHECK(Metadata.TakesUpStream_);
    CHECK(Metadata.FirstAttemptId_ == "id1");
    CHECK(Metadata.Peer_ == PeerState{PeerFieldSupport::Full, Attempt.Origin_});
  }
  SECTION("to one that takes it for a client's") {
    auto const Metadata = valueOf(Codec.decode(Head));
    CHECK(Metadata.LastEventId_ == 17);
    CHECK(Metadata.FirstAttemptId_ == "id1");
    CHECK(Metadata.Peer_ == PeerState{});
  }
  SECTION("and no further") {
    auto const ToServer = Codec.encode(Head, Attempt);
    CHECK_FALSE(ToServer.Fields_.find("Laburnum-Stream-Origin"));
  }
}

TEST_CASE("A client cannot state a stream's origin") {
  auto Head = request();
  Head.Fields_.add("Laburnum-Stream-Origin", "forged/v9");
  CHECK(valueOf(Codec.decode(Head)).Peer_ == PeerState{});
  auto const PassedOn = Codec.encodeForPeer(Head, {});
  CHECK_FALSE(valueOf(Codec.decodeFromPeer(PassedOn)).Peer_.Origin_);
}

TEST_CASE("An origin in a peer's answer is read and not relayed") {
  auto Head = answer(200, {{"X-Server-Stamp", "s"}});
  setPeerFields(Head.Fields_, StreamOrigin{ServiceName("writer"), "v2"});
  auto const Answer = Codec.decodeFromPeer(Head);
  CHECK(Answer.Origin_ == StreamOrigin{ServiceName("writer"), "v2"});
  CHECK(Answer.Head_.Fields_.all().size() == 1);
}
