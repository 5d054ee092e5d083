#include <Fakes/FakeAsyncStore.h>

#include <LibControl/UsageReporter.h>

#include <catch2/catch.hpp>

#include <set>

using namespace laburnum;
using test::FakeAsyncStore;
using test::StoreFault;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

AccountName const A("a");
constexpr Duration Window = seconds(5);

struct Reports : FencedPlatformApi {
  void reportUsage(Fence const &, std::int64_t Window,
                   std::map<AccountName, std::uint64_t> const &Counts, Duration,
                   Done Done) override {
    Sent_.emplace_back(Window, Counts);
    if (IsSilent_)
      return Done(Error{ErrorKind::OutcomeUnknown, "no answer", "again"});
    Done(Success{});
  }
  void orderServers(Fence const &, ServerOrder const &, Duration,
                    Done Done) override {
    Done(Success{});
  }
  std::vector<std::pair<std::int64_t, UsageCounts>> Sent_;
  bool IsSilent_ = false;
};

struct Instance {
  Instance(FakeAsyncStore &Store, Reports &Duties, std::string Incarnation)
      : Incarnation_(Incarnation),
        Reporter_(std::make_shared<UsageReporter>(
            Store, Duties, Counter_,
            UsageReporter::Settings{std::move(Incarnation), seconds(10)},
            [](std::int64_t, std::string const &, std::string const &) {},
            [] {})) {}

  std::string Incarnation_;
  UsageCounter Counter_{Window};
  std::shared_ptr<UsageReporter> Reporter_;
};

struct Fixture {
  /// Advances the time in steps of 200 ms while Holder holds the lease.
  void pass(Duration Length, Instance const *Holder) {
    for (auto const End = Now_ + Length; Now_ < End;
         Now_ += milliseconds(200)) {
      for (auto *Entry : {&First_, &Second_})
        Entry->Reporter_->tick(
            Entry == Holder ? std::optional(Fence{Entry->Incarnation_, 1})
                            : std::nullopt,
            Now_);
      Store_.deliver();
    }
  }

  FakeAsyncStore Store_;
  Reports Duties_;
  Instance First_{Store_, Duties_, "first.1"};
  Instance Second_{Store_, Duties_, "second.1"};
  Duration Now_ = Window * 1000;
};

} // namespace

TEST_CASE_METHOD(Fixture, "The counts of all instances are reported once") {
  First_.Counter_.count(A, Now_ + seconds(1));
  Second_.Counter_.count(A, Now_ + seconds(2));
  Second_.Counter_.count(A, Now_ + seconds(4));
  pass(Window + seconds(5), &First_);
  std::size_t ReportCount = 0;
  for (auto const &[Reported, Counts] : Duties_.Sent_)
    if (Reported == 1000) {
      ++ReportCount;
      CHECK(Counts == UsageCounts{{A, 3}});
    }
  CHECK(ReportCount == 1);
}

TEST_CASE_METHOD(
    Fixture,
    "Counts received from peers are reported after the peers are gone") {
  First_.Counter_.count(A, Now_ + seconds(1));
  First_.Reporter_->onPeer("killed.1", {{1000, A, 4}, {999, A, 1}},
                           Now_ + seconds(3));
  pass(Window + seconds(7), &First_);
  bool IsReported = false;
  for (auto const &[Reported, Counts] : Duties_.Sent_)
    if (Reported == 1000) {
      IsReported = true;
      CHECK(Counts == UsageCounts{{A, 5}});
    }
  CHECK(IsReported);
}

// Guards against a peer's text that ends the process where it is written as
// JSON.
TEST_CASE_METHOD(Fixture, "An account that is not UTF-8 in a peer's report "
                          "does not keep the others' counts from the store") {
  First_.Counter_.count(A, Now_ + seconds(1));
  First_.Reporter_->onPeer("killed.1", {{1000, AccountName("\xff"), 4}},
                           Now_ + seconds(3));
  pass(Window + seconds(7), &First_);
  auto const Stored = decodeUsage(
      Store_.Objects_.find({"entry-usage-settled", "windows"}).Value_);
  REQUIRE(Stored);
  REQUIRE(Stored->Windows_.contains(1000));
  CHECK(Stored->Windows_.at(1000).at(A) == 1);
  CHECK_FALSE(Duties_.Sent_.empty());
}

TEST_CASE_METHOD(Fixture, "A second holder reports the same counts even if it "
                          "received more in between") {
  First_.Counter_.count(A, Now_ + seconds(1));
  pass(Window, nullptr);
  Duties_.IsSilent_ = GENERATE(true, false);
  pass(seconds(7), &First_);
  auto const Before = Duties_.Sent_.size();
  REQUIRE(Before > 0);
  Duties_.IsSilent_ = false;
  Second_.Counter_.count(A, Window * 1000 + seconds(4));
  pass(seconds(3), &Second_);
  REQUIRE(Duties_.Sent_.size() > Before);
  for (auto const &[Reported, Counts] : Duties_.Sent_)
    if (Reported == 1000)
      CHECK(Counts == UsageCounts{{A, 1}});
}

TEST_CASE_METHOD(Fixture, "Holders that take turns settle each window once") {
  for (int Turn = 0; Turn < 4; ++Turn) {
    First_.Counter_.count(A, Now_ + seconds(1));
    pass(Window, Turn % 2 == 0 ? &First_ : &Second_);
  }
  pass(seconds(5), &First_);
  std::map<std::int64_t, std::set<UsageCounts>> ReportedCounts;
  for (auto const &[Reported, Counts] : Duties_.Sent_)
    ReportedCounts[Reported].insert(Counts);
  for (std::int64_t Reported = 1000; Reported < 1004; ++Reported)
    CHECK(ReportedCounts[Reported] == std::set{UsageCounts{{A, 1}}});
}

TEST_CASE_METHOD(Fixture, "An instance that has run nothing writes nothing") {
  pass(Window * 2, nullptr);
  CHECK(Store_.Objects_.version() == 0);
}

TEST_CASE_METHOD(Fixture,
                 "Lost answers of the store do not change the counts") {
  First_.Counter_.count(A, Now_ + seconds(1));
  pass(Window, nullptr);
  Store_.Fault_ = StoreFault::LostAnswer;
  pass(seconds(3), &First_);
  Store_.Fault_ = StoreFault::None;
  pass(seconds(3), &First_);
  bool IsReported = false;
  for (auto const &[Reported, Counts] : Duties_.Sent_)
    if (Reported == 1000) {
      IsReported = true;
      CHECK(Counts == UsageCounts{{A, 1}});
    }
  CHECK(IsReported);
}

TEST_CASE("A record of another format is rejected") {
  CHECK_FALSE(decodeUsage("7"));
  CHECK_FALSE(decodeUsage("{\"x\":{}}"));
  CHECK_FALSE(decodeUsage("{\"1\":{\"a\":\"many\"}}"));
  UsageRecord const Record{{{1, {{A, 2}}}, {3, {}}}};
  CHECK(decodeUsage(encodeUsage(Record)) == Record);
}

TEST_CASE_METHOD(Fixture, "A window is never reported with other counts though "
                          "the store forgets that it was settled") {
  Store_.Era_ = 1;
  First_.Counter_.count(A, Now_ + seconds(1));
  auto const Older = Store_.Objects_.version();
  Duties_.IsSilent_ = GENERATE(true, false);
  pass(Window + seconds(3), &First_);
  REQUIRE_FALSE(Duties_.Sent_.empty());
  Store_.Objects_.restoreTo(Older);
  Store_.Era_ = 2;
  enum class Next { SameHolder, Other, OtherAfterTheHolderNoticed };
  auto const Case =
      GENERATE(Next::SameHolder, Next::Other, Next::OtherAfterTheHolderNoticed);
  if (Case != Next::Other) {
    First_.Reporter_->onStoreRestored();
    pass(milliseconds(600), &First_);
  }
  auto const &Holder = Case == Next::SameHolder ? First_ : Second_;
  // What comes later would change the sum.
  First_.Reporter_->onPeer("late.1", {{1000, A, 4}}, Now_);
  Second_.Reporter_->onPeer("late.1", {{1000, A, 4}}, Now_);
  Duties_.IsSilent_ = false;
  pass(seconds(12), &Holder);
  std::set<UsageCounts> Reported;
  for (auto const &[Each, Counts] : Duties_.Sent_)
    if (Each == 1000)
      Reported.insert(Counts);
  // Who can't know whether a window was reported leaves it out.
  CHECK(Reported.size() <= 1);
  if (Case == Next::SameHolder)
    CHECK(Reported.size() == 1);
  CHECK(Duties_.Sent_.back().first > 1000);
}
