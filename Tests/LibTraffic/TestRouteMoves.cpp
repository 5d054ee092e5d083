#include <LibTraffic/RouteMoves.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>
#include <utility>
#include <vector>

using namespace laburnum;

namespace {

using std::chrono::seconds;

constexpr Duration Epoch = std::chrono::hours(490000);
using Shares = std::vector<WeightedService>;
using SharedTable = std::shared_ptr<RouteTable const>;

Shares const A{{ServiceName("a"), 1}};
Shares const B{{ServiceName("b"), 1}};
Shares const C{{ServiceName("c"), 1}};

Route route(std::string Prefix, Shares Services, std::string Host = "h") {
  Route Made;
  Made.Host_ = std::move(Host);
  Made.PathPrefix_ = std::move(Prefix);
  Made.Services_ = std::move(Services);
  return Made;
}

SharedTable table(std::uint64_t Version, std::vector<Route> Routes) {
  return std::make_shared<RouteTable>(
      Version, std::move(Routes), std::vector<RoutedService>(),
      std::vector<RoutedAccount>(), ClientBounds());
}

struct Fixture {
  /// Sets the next version of the configuration.
  void set(std::vector<Route> Routes) {
    Moves_.setTable(table(++Version_, std::move(Routes)), Now_);
  }
  bool hasMoved(std::string_view Target, std::string_view Host = "h") const {
    return Moves_.hasMoved(Host, Target, Now_);
  }
  bool hasAnyMoved() const { return Moves_.hasAnyMoved(Now_); }

  Duration Now_ = Epoch;
  std::uint64_t Version_ = 0;
  RouteMoves Moves_;
};

/// A table and the time at which it was set.
struct SetTable {
  SharedTable Table_;
  Duration At_{};
};

Shares anyShares() {
  return *rc::gen::element(
      A, B, Shares{{ServiceName("a"), 1}, {ServiceName("b"), 1}},
      Shares{{ServiceName("a"), 3}, {ServiceName("b"), 1}}, Shares{});
}

std::vector<Route> anyRoutes() {
  std::vector<Route> Routes;
  for (auto const *const Host : {"h", "G"})
    for (auto const *const Prefix : {"/", "/x/", "/x/y/"})
      if (*rc::gen::arbitrary<bool>())
        Routes.push_back(route(Prefix, anyShares(), Host));
  return Routes;
}

/// Returns whether some seed is led to other services by the two tables.
bool leadsElsewhere(RouteTable const &One, RouteTable const &Other,
                    std::string_view Host, std::string_view Target) {
  auto const *const Begun = One.match(Host, Target);
  auto const *const Now = Other.match(Host, Target);
  if (!Begun || !Now)
    return false;
  for (int Seed = 0; Seed < 32; ++Seed)
    if (serviceFor(*Begun, std::to_string(Seed)) !=
        serviceFor(*Now, std::to_string(Seed)))
      return true;
  return false;
}

} // namespace

TEST_CASE_METHOD(Fixture, "The first table moves nothing") {
  set({route("/", A)});
  CHECK_FALSE(hasMoved("/s"));
  CHECK_FALSE(hasAnyMoved());
  CHECK(Moves_.moved() == MovedRoutes{1, {}});
}

TEST_CASE_METHOD(Fixture, "A route that leads to another service has moved") {
  set({route("/", A), route("/", A, "g")});
  Now_ += seconds(100);
  set({route("/", B), route("/", A, "g")});
  CHECK(hasMoved("/s"));
  CHECK(hasAnyMoved());
  CHECK_FALSE(hasMoved("/s", "g"));
  CHECK_FALSE(hasMoved("/s", "unknown"));
  CHECK(Moves_.moved() == MovedRoutes{2, {{{"h", "/"}, Now_}}});
}

TEST_CASE_METHOD(Fixture, "A route with other weights has moved") {
  set({route("/", {{ServiceName("a"), 9}, {ServiceName("b"), 1}})});
  set({route("/", {{ServiceName("a"), 8}, {ServiceName("b"), 2}})});
  CHECK(hasMoved("/s"));
}

TEST_CASE_METHOD(Fixture, "A longer prefix that is added moves its requests "
                          "alone") {
  set({route("/", A)});
  set({route("/", A), route("/x/", B)});
  CHECK(hasMoved("/x/s"));
  CHECK_FALSE(hasMoved("/s"));
  CHECK_FALSE(hasMoved("/x"));
}

TEST_CASE_METHOD(Fixture, "A longer prefix that is removed moves its requests "
                          "alone") {
  set({route("/", A), route("/x/", B)});
  set({route("/", A)});
  CHECK(hasMoved("/x/s"));
  CHECK_FALSE(hasMoved("/s"));
}

TEST_CASE_METHOD(Fixture, "A longer prefix of the same services moves "
                          "nothing") {
  set({route("/", A)});
  set({route("/", A), route("/x/", A)});
  set({route("/", A)});
  CHECK_FALSE(hasMoved("/x/s"));
  CHECK_FALSE(hasAnyMoved());
}

TEST_CASE_METHOD(Fixture, "A route that keeps its services has not moved") {
  auto Changed = route("/", A);
  set({Changed});
  Changed.Name_ = "renamed";
  Changed.Timeout_ = seconds(77);
  Changed.Rank_ = 3;
  set({Changed, route("/", B, "other")});
  CHECK_FALSE(hasMoved("/s"));
  CHECK_FALSE(hasAnyMoved());
}

TEST_CASE_METHOD(Fixture, "A longer prefix in force has not moved with the "
                          "shorter one") {
  set({route("/", A), route("/x/", A)});
  set({route("/", B), route("/x/", A)});
  CHECK(hasMoved("/s"));
  CHECK_FALSE(hasMoved("/x/s"));
}

TEST_CASE_METHOD(Fixture, "A longer prefix that is added after the shorter one "
                          "has moved takes the move over") {
  set({route("/", A)});
  set({route("/", B)});
  auto const MovedAt = Now_;
  Now_ += seconds(10);
  set({route("/", B), route("/x/", B)});
  CHECK(hasMoved("/x/s"));
  Now_ = MovedAt + RouteMoves::RetentionTime;
  CHECK_FALSE(hasMoved("/x/s"));
}

TEST_CASE_METHOD(Fixture, "A longer prefix that keeps its services does not "
                          "move with one that is added above it") {
  set({route("/", A)});
  if (GENERATE(false, true))
    set({route("/", A), route("/x/", B), route("/x/y/", A)});
  else
    set({route("/", A), route("/x/y/", A), route("/x/", B)});
  CHECK(hasMoved("/x/s"));
  CHECK_FALSE(hasMoved("/x/y/s"));
}

TEST_CASE_METHOD(Fixture,
                 "A route that is removed and added again with another "
                 "service has moved") {
  set({route("/", A)});
  set({});
  auto const *const Prefix = GENERATE("/", "/x/");
  set({route(Prefix, B)});
  CHECK(hasMoved("/x/s"));
}

TEST_CASE_METHOD(Fixture, "An added route that matched nothing before has not "
                          "moved") {
  set({route("/x/", A)});
  set({route("/x/", A), route("/y/", B), route("/", C, "g")});
  CHECK_FALSE(hasMoved("/y/s"));
  CHECK_FALSE(hasMoved("/s", "g"));
  CHECK_FALSE(hasAnyMoved());
}

TEST_CASE_METHOD(Fixture, "A host's case and port do not matter") {
  set({route("/", A, "Host.Example")});
  set({route("/", B, "hOST.eXAMPLE")});
  CHECK(hasMoved("/s", "host.example"));
  CHECK(hasMoved("/s", "HOST.example:8080"));
  CHECK(Moves_.moved().Regions_.contains({"host.example", "/"}));
}

TEST_CASE_METHOD(Fixture, "A query does not lead to a longer prefix") {
  set({route("/", A), route("/x/", A)});
  SECTION("of a route that has moved") {
    set({route("/", A), route("/x/", B)});
    CHECK(hasMoved("/x/?q=1"));
    CHECK_FALSE(hasMoved("/s?q=/x/"));
    CHECK_FALSE(hasMoved("/?/x/"));
  }
  SECTION("of a route that has not moved") {
    set({route("/", B), route("/x/", A)});
    CHECK(hasMoved("/?/x/"));
    CHECK(hasMoved("/s?q=/x/"));
    CHECK_FALSE(hasMoved("/x/?q=1"));
  }
}

TEST_CASE_METHOD(Fixture, "A move is forgotten after its time") {
  set({route("/", A)});
  set({route("/", B)});
  Now_ += RouteMoves::RetentionTime - std::chrono::milliseconds(1);
  CHECK(hasMoved("/s"));
  CHECK(hasAnyMoved());
  Now_ += std::chrono::milliseconds(1);
  CHECK_FALSE(hasMoved("/s"));
  CHECK_FALSE(hasAnyMoved());
  set({route("/", B)});
  CHECK(Moves_.moved() == MovedRoutes{3, {}});
}

TEST_CASE_METHOD(Fixture, "A later move begins the time anew") {
  set({route("/", A)});
  set({route("/", B)});
  Now_ += seconds(20);
  set({route("/", A)});
  Now_ += seconds(20);
  CHECK(hasMoved("/s"));
  Now_ += seconds(10);
  CHECK_FALSE(hasMoved("/s"));
}

TEST_CASE_METHOD(Fixture, "Where an older version than the first table is "
                          "recorded, everything may have moved") {
  Version_ = 4;
  bool const IsMergedFirst = GENERATE(false, true);
  if (IsMergedFirst)
    Moves_.merge({3, {}}, Now_);
  set({route("/", A)});
  if (!IsMergedFirst)
    Moves_.merge({3, {}}, Now_);
  CHECK(hasMoved("/s"));
  CHECK(hasMoved("/s", "unknown"));
  CHECK(hasAnyMoved());
  Now_ += RouteMoves::RetentionTime;
  CHECK_FALSE(hasMoved("/s"));
  CHECK_FALSE(hasAnyMoved());
  // The same record does not begin the time anew.
  Moves_.merge({3, {}}, Now_);
  CHECK_FALSE(hasMoved("/s"));
}

TEST_CASE_METHOD(Fixture, "That moves are not known is recorded, and holds for "
                          "those who read it") {
  Version_ = 4;
  Moves_.merge({3, {}}, Now_);
  set({route("/", A)});
  auto const NoticedAt = Now_;
  CHECK(Moves_.moved() == MovedRoutes{5, {}, NoticedAt});
  Now_ += seconds(10);
  RouteMoves Reader;
  Reader.setTable(table(5, {route("/", A)}), Now_);
  Reader.merge(Moves_.moved(), Now_);
  CHECK(Reader.hasMoved("h", "/s", Now_));
  CHECK(Reader.hasAnyMoved(Now_));
  Now_ = NoticedAt + RouteMoves::RetentionTime;
  CHECK_FALSE(Reader.hasMoved("h", "/s", Now_));
  Reader.merge({5, {}}, Now_);
  CHECK(Reader.moved() == MovedRoutes{5, {}});
}

TEST_CASE_METHOD(Fixture, "Moves that are not known here count from now, "
                          "whatever others did not know before") {
  Version_ = 4;
  Moves_.merge({3, {}, Now_ - seconds(29)}, Now_);
  set({route("/", A)});
  Now_ += seconds(29);
  CHECK(hasMoved("/s"));
  Now_ += seconds(1);
  CHECK_FALSE(hasMoved("/s"));
}

TEST_CASE_METHOD(Fixture, "That moves are not known since a time ahead of the "
                          "clock counts from now") {
  set({route("/", A)});
  Moves_.merge({1, {}, Now_ + std::chrono::hours(9)}, Now_);
  CHECK(hasMoved("/s"));
  Now_ += RouteMoves::RetentionTime;
  CHECK_FALSE(hasMoved("/s"));
}

TEST_CASE_METHOD(Fixture, "An older version that this instance has seen tells "
                          "nothing new") {
  set({route("/", A)});
  set({route("/", A)});
  Moves_.merge({1, {}}, Now_);
  CHECK_FALSE(hasMoved("/s"));
  CHECK_FALSE(hasAnyMoved());
}

TEST_CASE_METHOD(Fixture,
                 "Where a newer version is recorded, everything counts "
                 "as moved until its table is in force") {
  bool const IsMergedFirst = GENERATE(false, true);
  if (IsMergedFirst)
    Moves_.merge({3, {}}, Now_);
  set({route("/", A)});
  if (!IsMergedFirst)
    Moves_.merge({3, {}}, Now_);
  CHECK(hasMoved("/s"));
  Now_ += RouteMoves::RetentionTime * 2;
  CHECK(hasMoved("/s"));
  CHECK(hasAnyMoved());
  set({route("/", A)});
  CHECK(hasMoved("/s"));
  set({route("/", A), route("/x/", B)});
  CHECK_FALSE(hasMoved("/s"));
  CHECK(hasMoved("/x/s"));
}

TEST_CASE_METHOD(Fixture, "Where the version in force is recorded, its moves "
                          "alone count") {
  auto const MovedAt = Now_ - seconds(10);
  MovedRoutes const Recorded{1, {{{"h", "/x/"}, MovedAt}}};
  bool const IsMergedFirst = GENERATE(false, true);
  if (IsMergedFirst)
    Moves_.merge(Recorded, Now_);
  set({route("/", A)});
  if (!IsMergedFirst)
    Moves_.merge(Recorded, Now_);
  CHECK(hasMoved("/x/s"));
  CHECK_FALSE(hasMoved("/s"));
  CHECK(Moves_.moved() == Recorded);
  Now_ = MovedAt + RouteMoves::RetentionTime;
  CHECK_FALSE(hasMoved("/x/s"));
}

TEST_CASE_METHOD(Fixture, "Nothing was recorded where the version is zero") {
  set({route("/", A)});
  Moves_.merge({}, Now_);
  CHECK_FALSE(hasAnyMoved());
  CHECK(Moves_.moved() == MovedRoutes{1, {}});
}

TEST_CASE_METHOD(Fixture, "The later of two times of a move counts") {
  set({route("/", A)});
  set({route("/", B)});
  auto const MovedAt = Now_;
  Moves_.merge({2, {{{"h", "/"}, MovedAt - seconds(20)}}}, Now_);
  CHECK(Moves_.moved() == MovedRoutes{2, {{{"h", "/"}, MovedAt}}});
  Now_ += seconds(10);
  Moves_.merge({2, {{{"h", "/"}, Now_}}}, Now_);
  Now_ += seconds(29);
  CHECK(hasMoved("/s"));
}

TEST_CASE_METHOD(Fixture, "A recorded time ahead of the clock counts as now") {
  set({route("/", A)});
  Moves_.merge({1, {{{"h", "/"}, Now_ + std::chrono::hours(9)}}}, Now_);
  CHECK(hasMoved("/s"));
  CHECK(Moves_.moved() == MovedRoutes{1, {{{"h", "/"}, Now_}}});
  Now_ += RouteMoves::RetentionTime;
  CHECK_FALSE(hasMoved("/s"));
}

TEST_CASE_METHOD(Fixture, "A recorded time long ago is not kept") {
  set({route("/", A)});
  Moves_.merge({1, {{{"h", "/"}, Now_ - RouteMoves::RetentionTime}}}, Now_);
  CHECK_FALSE(hasAnyMoved());
  CHECK(Moves_.moved() == MovedRoutes{1, {}});
}

TEST_CASE("A request that two recent tables lead to different services has "
          "moved") {
  CHECK(rc::check([] {
    RouteMoves Moves;
    std::vector<SetTable> Tables;
    auto Now = Epoch;
    auto const Count = *rc::gen::inRange<std::uint64_t>(2, 7);
    for (std::uint64_t Version = 1; Version <= Count; ++Version) {
      Tables.push_back({table(Version, anyRoutes()), Now});
      Moves.setTable(Tables.back().Table_, Now);
      Now += seconds(*rc::gen::inRange(0, 20));
    }
    for (auto const *const Host : {"h", "H:80", "g"})
      for (auto const *const Target :
           {"/", "/s", "/x/s", "/x/y/s?q", "/s?/x/y/", "/x"})
        for (std::size_t One = 0; One < Tables.size(); ++One)
          for (auto Other = One + 1; Other < Tables.size(); ++Other) {
            // The older table was in force until the next one was set.
            bool const IsRecent =
                Now - Tables[One + 1].At_ < RouteMoves::RetentionTime;
            if (IsRecent && leadsElsewhere(*Tables[One].Table_,
                                           *Tables[Other].Table_, Host, Target))
              RC_ASSERT(Moves.hasMoved(Host, Target, Now));
          }
  }));
}
