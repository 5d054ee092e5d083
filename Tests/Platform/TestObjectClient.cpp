#include <LibHttp/HttpListener.h>
#include <ObjectClient.h>

#include <nlohmann/json.hpp>

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <deque>
#include <optional>

using namespace laburnum;
using platform::ObjectClient;

namespace {

constexpr Duration Timeout = std::chrono::seconds(5);

std::string object(std::string const &Name, Version Revision,
                   std::string const &Specification) {
  return R"({"metadata":{"name":")" + Name + R"(","revision":)" +
         std::to_string(Revision) + R"(},"specification":)" + Specification +
         "}";
}

/// Answers each call with the next scripted answer. Status 0 aborts the
/// connection instead.
struct ScriptedStore : HttpService {
  ClientBounds bounds() const override { return {}; }
  void onRequest(std::shared_ptr<Exchange> Exchange,
                 ReceivedRequest Request) override {
    Calls_.push_back(Request.Head_.Method_ + ' ' + Request.Head_.Target_);
    Bodies_.push_back(Request.Body_);
    if (EndlessPageBytes_ > 0)
      return Exchange->answer({200, {}}, nextEndlessPage());
    auto const [Status, Body] = Script_.front();
    Script_.pop_front();
    if (Status == 0)
      return Exchange->abort();
    AnswerHead Head{Status, {}};
    if (Era_ > 0)
      Head.Fields_.add("Store-Era", std::to_string(Era_));
    Exchange->answer(Head, Body);
  }

  /// A page of about EndlessPageBytes_ with a name that no page had before.
  std::string nextEndlessPage() const {
    return R"({"items":[)" +
           object(std::to_string(Calls_.size()), 3,
                  '"' + std::string(EndlessPageBytes_, 'x') + '"') +
           R"(],"has_more":true,"current_rev":9})";
  }

  std::size_t EndlessPageBytes_ = 0; ///< Above 0: lists have no end.
  std::deque<std::pair<std::int32_t, std::string>> Script_;
  std::vector<std::string> Calls_;
  std::vector<std::string> Bodies_;
  StoreEra Era_ = 0; ///< Not stated if 0.
};

struct Fixture {
  template <typename Value, typename Call>
  Result<Value> await(Call const &Start) {
    std::optional<Result<Value>> Outcome;
    Start([&](Result<Value> Got) { Outcome = std::move(Got); });
    auto const End = std::chrono::steady_clock::now() + Timeout;
    while (!Outcome && std::chrono::steady_clock::now() < End) {
      Context_.restart();
      Context_.run_one_for(std::chrono::milliseconds(200));
    }
    REQUIRE(Outcome);
    return *Outcome;
  }
  Result<Version> put() {
    return await<Version>(
        [&](auto Done) { Client_.put(Key_, "7", Timeout, Done); });
  }
  Result<Version> putIf(Version Expected) {
    return await<Version>(
        [&](auto Done) { Client_.putIf(Key_, Expected, "7", Timeout, Done); });
  }

  Result<StoredObject> get(ReadConsistency Consistency) {
    return await<StoredObject>(
        [&](auto Done) { Client_.get(Key_, Consistency, Timeout, Done); });
  }

  asio::io_context Context_;
  ScriptedStore Store_;
  std::shared_ptr<HttpListener> Listener_ = std::get<0>(
      HttpListener::create(Context_, Endpoint{"127.0.0.1", 0}, Store_));
  ObjectClient Client_{Context_, Listener_->localEndpoint()};
  ObjectKey const Key_{"things", "one"};
};

} // namespace

TEST_CASE_METHOD(Fixture, "A list is read page by page") {
  Store_.Script_ = {{200, R"({"items":[)" + object("a", 3, "1") + "," +
                              object("b", 4, "{}") +
                              R"(],"has_more":true,"current_rev":9})"},
                    {200, R"({"items":[)" + object("c", 5, "\"x\"") +
                              R"(],"has_more":false,"current_rev":11})"}};
  std::vector<std::string> FurtherPages;
  Client_.setPageListener([&](std::string const &Collection) {
    FurtherPages.push_back(Collection);
  });
  auto const Listed = await<ObjectList>([&](auto Done) {
    Client_.list("things", ReadConsistency::Latest, Timeout, Done);
  });
  REQUIRE_FALSE(isError(Listed));
  CHECK(FurtherPages == std::vector<std::string>{"things"});
  CHECK(valueOf(Listed).Objects_.size() == 3);
  CHECK(valueOf(Listed).Objects_[2] ==
        StoredObject{{"things", "c"}, 5, "\"x\""});
  // A watch from the first page's revision covers changes between the pages.
  CHECK(valueOf(Listed).StoreVersion_ == 9);
  CHECK(Store_.Calls_ ==
        std::vector<std::string>{"GET /laburnumpond/objects/things",
                                 "GET /laburnumpond/objects/things?after=b"});
}

TEST_CASE_METHOD(Fixture, "A list goes on after a name that has to be encoded "
                          "in a URL") {
  auto const [Name, Encoded] = GENERATE(
      table<std::string, std::string>({{"a00%20", "a00%2520"},
                                       {"a02&b=", "a02%26b%3D"},
                                       {"a03+", "a03%2B"},
                                       {"a04%C3%A9", "a04%25C3%25A9"},
                                       {"a05 HTTP/1.1", "a05%20HTTP%2F1.1"}}));
  auto const [Consistency, Query] =
      GENERATE(table<ReadConsistency, std::string>(
          {{ReadConsistency::Latest, "?after="},
           {ReadConsistency::MayLag, "?allow_stale=1&after="}}));
  Store_.Script_ = {{200, R"({"items":[)" + object(Name, 3, "1") +
                              R"(],"has_more":true,"current_rev":9})"},
                    {200, R"({"items":[],"has_more":false,"current_rev":9})"}};
  await<ObjectList>([&, Wanted = Consistency](auto Done) {
    Client_.list("things", Wanted, Timeout, Done);
  });
  CHECK(Store_.Calls_.back() ==
        "GET /laburnumpond/objects/things" + Query + Encoded);
}

TEST_CASE_METHOD(Fixture, "A list whose pages do not advance fails") {
  auto const Page = [](std::string const &Name) {
    return std::pair<std::int32_t, std::string>(
        200, R"({"items":[)" + object(Name, 3, "1") +
                 R"(],"has_more":true,"current_rev":9})");
  };
  std::size_t Read = 0;
  SECTION("the same page comes again") {
    Read = 2;
    Store_.Script_ = {Page("a"), Page("a"), Page("a")};
  }
  SECTION("an earlier page comes again") {
    Read = 3;
    Store_.Script_ = {Page("a"), Page("b"), Page("a"), Page("b"), Page("a")};
  }
  SECTION("no object of a page has a name that can be read") {
    Read = 2;
    Store_.Script_ = {Page("a"),
                      {200, R"({"items":[{"metadata":{"name":7}}],)"
                            R"("has_more":true,"current_rev":9})"},
                      Page("c")};
  }
  CHECK(isError(await<ObjectList>([&](auto Done) {
    Client_.list("things", ReadConsistency::Latest, Timeout, Done);
  })));
  CHECK(Store_.Calls_.size() == Read);
}

// Guards against a list that takes all of the memory.
TEST_CASE_METHOD(Fixture, "A list without end fails at 32 MiB") {
  auto const [PageMebibytes, Pages] =
      GENERATE(table<std::size_t, std::size_t>({{1, 32}, {15, 3}}));
  Store_.EndlessPageBytes_ = PageMebibytes << 20;
  constexpr std::size_t TooMany = 40;
  std::size_t FurtherPages = 0;
  Client_.setPageListener([&](std::string const &) {
    if (++FurtherPages == TooMany)
      Store_.EndlessPageBytes_ = 0;
  });
  Store_.Script_ = {{500, ""}};
  auto const Listed = await<ObjectList>([&](auto Done) {
    Client_.list("things", ReadConsistency::Latest, Timeout, Done);
  });
  REQUIRE(isError(Listed));
  CHECK(errorOf(Listed).Kind_ == ErrorKind::Unavailable);
  CHECK(Store_.Calls_.size() == Pages);
}

// Guards against another writer's metadata that hides an object's name, without
// which a list cannot go on after its page.
TEST_CASE_METHOD(Fixture, "An object's name and revision are read whatever the "
                          "rest of its metadata") {
  auto const *const Odd = GENERATE(
      "\"finalizers\":[\"\xff\"]", R"("weight":1e999)", R"("labels":tru)",
      R"("generation":99999999999999999999999999999999)");
  auto const Metadata = [&](std::string const &Name, Version Revision) {
    return R"({"metadata":{)" + std::string(Odd) + R"(,"name":")" + Name +
           R"(","revision":)" + std::to_string(Revision) + "," + Odd +
           R"(},"specification":7})";
  };
  Store_.Script_ = {{200, R"({"items":[)" + Metadata("a", 3) +
                              R"(],"has_more":true,"current_rev":9})"},
                    {200, R"({"items":[)" + Metadata("b", 4) +
                              R"(],"has_more":false,"current_rev":9})"},
                    {200, R"({"events":[{"deleted":false,"object":)" +
                              Metadata("a", 11) + R"(}],"current_rev":11})"},
                    {200, Metadata("one", 12)}};
  auto const Listed = await<ObjectList>([&](auto Done) {
    Client_.list("things", ReadConsistency::Latest, Timeout, Done);
  });
  REQUIRE_FALSE(isError(Listed));
  CHECK(valueOf(Listed).Objects_ ==
        std::vector<StoredObject>{{{"things", "a"}, 3, "7"},
                                  {{"things", "b"}, 4, "7"}});
  CHECK(Store_.Calls_.back() == "GET /laburnumpond/objects/things?after=a");
  auto const Batch = await<WatchBatch>([&](auto Done) {
    Client_.watch("things", 9, std::chrono::milliseconds(1500), Done);
  });
  REQUIRE_FALSE(isError(Batch));
  CHECK(valueOf(Batch).Objects_ ==
        std::vector<StoredObject>{{{"things", "a"}, 11, "7"}});
  CHECK(valueOf(get(ReadConsistency::Latest)).Version_ == 12);
}

// Guards against a neighbour that is taken for the name or the revision.
TEST_CASE_METHOD(Fixture, "A name or a revision that cannot be read does not "
                          "hide the other") {
  Store_.Script_ = {
      {200, "{\"items\":[{\"metadata\":{\"name\":\"\xff\",\"revision\":5},"
            "\"specification\":7},{\"metadata\":{\"name\":\"b\","
            "\"revision\":1e999},\"specification\":7}],\"has_more\":false,"
            "\"current_rev\":9}"}};
  auto const Listed = await<ObjectList>([&](auto Done) {
    Client_.list("things", ReadConsistency::Latest, Timeout, Done);
  });
  REQUIRE_FALSE(isError(Listed));
  CHECK(valueOf(Listed).Objects_ ==
        std::vector<StoredObject>{{{"things", ""}, 5, "7"},
                                  {{"things", "b"}, 0, "7"}});
}

TEST_CASE_METHOD(Fixture, "An object is read and written at its own path "
                          "whatever its name") {
  ObjectKey const Odd{"things", "a/b?c=1&d+e%20"};
  auto const Path = "/laburnumpond/objects/things/a%2Fb%3Fc%3D1%26d%2Be%2520";
  Store_.Script_ = {
      {404, ""}, {200, object("x", 2, "7")}, {200, object("x", 3, "7")}};
  await<StoredObject>([&](auto Done) {
    Client_.get(Odd, ReadConsistency::MayLag, Timeout, Done);
  });
  await<Version>([&](auto Done) { Client_.putIf(Odd, 1, "7", Timeout, Done); });
  await<Version>(
      [&](auto Done) { Client_.putStatusIf(Odd, 2, "{}", Timeout, Done); });
  Store_.Script_ = {{200, ""}};
  await<Success>([&](auto Done) { Client_.remove(Odd, Timeout, Done); });
  CHECK(Store_.Calls_ ==
        std::vector<std::string>{"GET " + std::string(Path) + "?allow_stale=1",
                                 "PUT " + std::string(Path),
                                 "PUT " + std::string(Path) + "/status",
                                 "DELETE " + std::string(Path)});
}

// Guards against a peer's text that ends the process where it is written as
// JSON.
TEST_CASE_METHOD(Fixture, "An object whose name is not UTF-8 is written") {
  ObjectKey const Odd{"things", "\xff"};
  Store_.Script_ = {{200, object("x", 2, "7")}, {200, object("x", 3, "7")}};
  CHECK(valueOf(await<Version>([&](auto Done) {
          Client_.putIf(Odd, 1, "7", Timeout, Done);
        })) == 2);
  CHECK(valueOf(await<Version>([&](auto Done) {
          Client_.putStatusIf(Odd, 2, "{}", Timeout, Done);
        })) == 3);
  CHECK(Store_.Calls_ == std::vector<std::string>{
                             "PUT /laburnumpond/objects/things/%FF",
                             "PUT /laburnumpond/objects/things/%FF/status"});
  for (auto const &Body : Store_.Bodies_)
    CHECK(nlohmann::json::parse(Body)["metadata"]["name"] == "\uFFFD");
}

TEST_CASE_METHOD(Fixture, "A watch yields changes, deletions and gaps") {
  Store_.Script_ = {{200, R"({"events":[{"deleted":false,"object":)" +
                              object("a", 6, "1") +
                              R"(},{"deleted":true,"object":)" +
                              object("b", 7, "2") + R"(}],"current_rev":8})"},
                    {410, ""}};
  auto const Watch = [&] {
    return await<WatchBatch>([&](auto Done) {
      Client_.watch("things", 5, std::chrono::milliseconds(1500), Done);
    });
  };
  auto const First = Watch();
  REQUIRE_FALSE(isError(First));
  CHECK(valueOf(First).StoreVersion_ == 8);
  CHECK(valueOf(First).Objects_.at(0).Version_ == 6);
  CHECK(valueOf(First).Objects_.at(1).Version_ == 0);
  CHECK(Store_.Calls_.front() ==
        "GET /laburnumpond/objects/things?watch=5&wait_ms=1500");
  CHECK(valueOf(Watch()).Continuity_ == WatchContinuity::Gap);
}

TEST_CASE_METHOD(Fixture, "A write names the version that it expects") {
  Store_.Script_ = {{200, object("one", 12, "7")},
                    {200, object("one", 13, "7")}};
  CHECK(valueOf(putIf(0)) == 12);
  CHECK(valueOf(putIf(12)) == 13);
  CHECK(Store_.Calls_ ==
        std::vector<std::string>{"POST /laburnumpond/objects/things",
                                 "PUT /laburnumpond/objects/things/one"});
  CHECK(nlohmann::json::parse(Store_.Bodies_[1])["metadata"]["revision"] == 12);
}

TEST_CASE_METHOD(Fixture, "An unconditional write creates a missing object") {
  Store_.Script_ = {{404, ""}, {200, object("one", 3, "7")}};
  CHECK(valueOf(put()) == 3);
  CHECK(Store_.Calls_.at(1) == "POST /laburnumpond/objects/things");
}

TEST_CASE_METHOD(Fixture,
                 "A failed write reports whether its outcome is known") {
  auto const [Status, Kind] = GENERATE(
      table<std::int32_t, ErrorKind>({{409, ErrorKind::Conflict},
                                      {429, ErrorKind::ResourceExhausted},
                                      {503, ErrorKind::Unavailable},
                                      {500, ErrorKind::OutcomeUnknown},
                                      {0, ErrorKind::OutcomeUnknown}}));
  CAPTURE(Status);
  Store_.Script_ = {{Status, ""}};
  auto const Written = putIf(4);
  REQUIRE(isError(Written));
  CHECK(errorOf(Written).Kind_ == Kind);
}

TEST_CASE_METHOD(Fixture, "An unreadable answer to a list is an error") {
  Store_.Script_ = {{200, "\xff{"}};
  CHECK(isError(await<ObjectList>([&](auto Done) {
    Client_.list("things", ReadConsistency::Latest, Timeout, Done);
  })));
}

TEST_CASE_METHOD(Fixture, "A missing object is read as version 0") {
  Store_.Script_ = {{404, ""}};
  auto const Read = get(ReadConsistency::Latest);
  REQUIRE_FALSE(isError(Read));
  CHECK(valueOf(Read).Version_ == 0);
  CHECK(Store_.Calls_.at(0) == "GET /laburnumpond/objects/things/one");
}

TEST_CASE_METHOD(Fixture, "A read that may lag sends allow_stale") {
  Store_.Script_ = {{404, ""}};
  get(ReadConsistency::MayLag);
  CHECK(Store_.Calls_.at(0) ==
        "GET /laburnumpond/objects/things/one?allow_stale=1");
}

TEST_CASE_METHOD(Fixture, "Versions of a restored store are above all earlier "
                          "ones, and the restoration is reported once") {
  std::vector<StoreEra> Reported;
  Client_.setRestoreListener([&](StoreEra Era) { Reported.push_back(Era); });
  Store_.Era_ = 3;
  Store_.Script_ = {{200, object("one", 500, "7")},
                    {200, object("one", 20, "7")},
                    {404, "{}"}};
  auto const Before = valueOf(get(ReadConsistency::Latest)).Version_;
  Store_.Era_ = 4;
  auto const After = valueOf(get(ReadConsistency::Latest));
  CHECK(After.Version_ > Before);
  CHECK(After.Era_ == 4);
  CHECK(revisionOf(After.Version_) == 20);
  auto const Absent = valueOf(get(ReadConsistency::Latest));
  CHECK(Absent.Version_ == 0);
  CHECK(Absent.Era_ == 4);
  CHECK(Reported == std::vector<StoreEra>{4});
}

TEST_CASE_METHOD(Fixture, "A watch from before a restoration is a gap even if "
                          "the store has given out its revision again") {
  Store_.Era_ = 4;
  Store_.Script_ = {{200, R"({"events":[],"current_rev":90})"}};
  auto const Batch = await<WatchBatch>([&](auto Done) {
    Client_.watch("things", versionOf(3, 50), std::chrono::seconds(1), Done);
  });
  CHECK(valueOf(Batch).Continuity_ == WatchContinuity::Gap);
  CHECK(Store_.Calls_.front() ==
        "GET /laburnumpond/objects/things?watch=50&wait_ms=1000");
}

TEST_CASE_METHOD(Fixture, "A conditional write from before a restoration does "
                          "not meet a revision that was given out again") {
  Store_.Era_ = 3;
  Store_.Script_ = {{200, object("one", 50, "7")}};
  auto const Expected = valueOf(get(ReadConsistency::Latest)).Version_;
  SECTION("the restoration is known") {
    Store_.Era_ = 4;
    Store_.Script_ = {{200, object("one", 20, "7")},
                      {200, object("one", 50, "8")}};
    get(ReadConsistency::Latest);
  }
  SECTION("the store was away meanwhile") {
    Store_.Script_ = {{0, ""}, {200, object("one", 50, "8")}};
    CHECK(isError(get(ReadConsistency::Latest)));
    Store_.Era_ = 4;
  }
  auto const Written = putIf(Expected);
  REQUIRE(isError(Written));
  CHECK(errorOf(Written).Kind_ == ErrorKind::Conflict);
  CHECK(Store_.Calls_.back().starts_with("GET"));
}

TEST_CASE_METHOD(Fixture, "A conditional write after an outage without a "
                          "restoration takes one more read") {
  Store_.Era_ = 3;
  Store_.Script_ = {{200, object("one", 50, "7")},
                    {0, ""},
                    {200, object("one", 50, "7")},
                    {200, object("one", 51, "7")},
                    {200, object("one", 52, "7")}};
  auto const Expected = valueOf(get(ReadConsistency::Latest)).Version_;
  CHECK(isError(get(ReadConsistency::Latest)));
  auto const Written = putIf(Expected);
  REQUIRE_FALSE(isError(Written));
  CHECK(valueOf(Written) == versionOf(3, 51));
  CHECK_FALSE(isError(putIf(valueOf(Written))));
  CHECK(Store_.Calls_.size() == 5);
}

TEST_CASE_METHOD(Fixture, "A list that ends with its connection before its "
                          "last object is no list") {
  asio::ip::tcp::acceptor Acceptor(Context_,
                                   {asio::ip::address_v4::loopback(), 0});
  std::optional<asio::ip::tcp::socket> Peer;
  std::string const Answer =
      "HTTP/1.1 200 OK\r\n\r\n{\"current_rev\":9,\"has_more\":false,"
      "\"items\":[" +
      object("a", 1, "{}");
  Acceptor.async_accept([&](asio::error_code, asio::ip::tcp::socket Socket) {
    Peer = std::move(Socket);
    Peer->async_wait(asio::ip::tcp::socket::wait_read, [&](asio::error_code) {
      std::string Received(4096, ' ');
      Peer->read_some(asio::buffer(Received));
      asio::write(*Peer, asio::buffer(Answer));
      Peer->close();
    });
  });
  ObjectClient Client(Context_,
                      {"127.0.0.1", Acceptor.local_endpoint().port()});
  CHECK(isError(await<ObjectList>([&](auto Done) {
    Client.list("things", ReadConsistency::Latest, Timeout, Done);
  })));
}
