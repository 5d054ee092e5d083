#include <LibServing/JournalFixture.h>

#include <catch2/catch.hpp>

using namespace laburnum;
using namespace laburnum::test;

TEST_CASE("Claims that wait for a bucket share its next write") {
  SharedBucket Store;
  JournalRun One(Store, 1);
  One.handle(claimRequest(1, "a"));
  One.answerRead();
  auto const First = One.takeWrite();
  One.handle(claimRequest(2, "b"));
  One.handle(claimRequest(3, "c"));
  CHECK_FALSE(One.Write_);
  CHECK(One.isOpen(1));
  One.answerWrite(First, Store.apply(First));
  CHECK(One.has<ClaimGranted>(1));
  One.answerWrite();
  CHECK(One.has<ClaimGranted>(2));
  CHECK(One.has<ClaimGranted>(3));
  CHECK_FALSE(One.Write_);
}

TEST_CASE("A key is granted once while its outcome is not known") {
  SharedBucket Store;
  JournalRun One(Store, 1);
  JournalRun Other(Store, 2);
  One.handle(claimRequest(1, "a"));
  One.handle(claimRequest(2, "a"));
  One.run();
  CHECK(One.has<ClaimGranted>(1));
  CHECK(One.has<ClaimPending>(2));
  Other.handle(claimRequest(1, "a"));
  Other.handle(claimRequest(2, "a", 99));
  Other.run();
  CHECK(Other.has<ClaimPending>(1));
  CHECK(Other.has<ClaimKeyReused>(2));
}

TEST_CASE("An outcome is returned to every later claim of the key") {
  SharedBucket Store;
  JournalRun One(Store, 1);
  JournalRun Other(Store, 2);
  One.handle(claimRequest(1, std::string("k\xff")));
  One.run();
  Other.handle(claimRequest(1, std::string("k\xff")));
  Other.run();
  SECTION("kept") {
    One.handle(outcome("k\xff", RunState::Ran, "b\xfe"));
    One.run();
    Other.handle(claimRequest(2, std::string("k\xff")));
    Other.run();
    REQUIRE(Other.has<ClaimAnswered>(2));
    CHECK(std::get<ClaimAnswered>(Other.Verdicts_[2]).Answer_.Body_ == "b\xfe");
  }
  SECTION("too large to keep") {
    One.handle(outcome("k\xff", RunState::Ran, std::string(5000, 'x')));
    One.run();
    Other.handle(claimRequest(2, std::string("k\xff")));
    Other.run();
    REQUIRE(Other.has<ClaimAnswered>(2));
    CHECK(std::get<ClaimAnswered>(Other.Verdicts_[2]).Answer_.Status_ == 200);
  }
  SECTION("not run: it may be claimed again") {
    One.handle(outcome("k\xff", RunState::NotRun));
    One.run();
    Other.handle(claimRequest(2, std::string("k\xff")));
    Other.run();
    CHECK(Other.has<ClaimGranted>(2));
  }
  SECTION("reported by an instance that does not hold the claim") {
    Other.handle(outcome("k\xff", RunState::NotRun));
    Other.handle(claimRequest(2, std::string("k\xff")));
    Other.run();
    CHECK(Other.has<ClaimPending>(2));
  }
}

TEST_CASE("After a conflict claims are decided on the current content") {
  SharedBucket Store;
  JournalRun One(Store, 1);
  JournalRun Other(Store, 2);
  One.handle(claimRequest(1, "a"));
  One.handle(claimRequest(2, "b"));
  One.answerRead();
  Other.handle(claimRequest(1, "a"));
  Other.run();
  REQUIRE(Other.has<ClaimGranted>(1));
  One.answerWrite();
  REQUIRE(One.Read_);
  One.run();
  CHECK(One.has<ClaimPending>(1));
  CHECK(One.has<ClaimGranted>(2));
}

TEST_CASE("A refusal by the platform is reported at once") {
  SharedBucket Store;
  JournalRun One(Store, 1);
  One.handle(claimRequest(1, "a"));
  auto const Kind =
      GENERATE(ErrorKind::Unavailable, ErrorKind::ResourceExhausted);
  SECTION("the read") { One.answerRead(failure(Kind)); }
  SECTION("the write") {
    One.answerRead();
    One.answerWrite(One.takeWrite(), failure(Kind));
  }
  CHECK(One.has<ClaimUnavailable>(1));
  One.handle(claimRequest(2, "a"));
  One.run();
  CHECK(One.has<ClaimGranted>(2));
}

TEST_CASE("A claim is not decided by another of the same unfinished write") {
  SharedBucket Store;
  JournalRun One(Store, 1);
  One.handle(claimRequest(1, "other"));
  One.answerRead();
  One.handle(claimRequest(2, "a"));
  One.handle(claimRequest(3, "a"));
  One.answerWrite();
  CHECK(One.isOpen(3));
  One.answerWrite(One.takeWrite(), failure(ErrorKind::Unavailable));
  CHECK(One.has<ClaimUnavailable>(2));
  CHECK(One.has<ClaimUnavailable>(3));
}

TEST_CASE("A lost write that took effect is recognised") {
  SharedBucket Store;
  JournalRun One(Store, 1);
  JournalRun Other(Store, 2);
  One.handle(claimRequest(1, "a"));
  One.answerRead();
  auto const Lost = One.loseWrite();
  CHECK(One.isOpen(1));
  Store.apply(Lost);
  Other.handle(claimRequest(1, "b")); // A later write.
  Other.run();
  One.run();
  CHECK(One.has<ClaimGranted>(1));
}

TEST_CASE(
    "A lost write that is still in flight does not count as not applied") {
  SharedBucket Store;
  JournalRun One(Store, 1);
  JournalRun Other(Store, 2);
  One.handle(claimRequest(1, "a"));
  One.answerRead();
  auto const Lost = One.loseWrite();
  One.answerRead(); // Does not show the write.
  REQUIRE(One.isOpen(1));
  auto const Resolving = One.takeWrite();
  CHECK(Resolving.Expected_ == Lost.Expected_);

  SECTION("the resolving write comes first") {
    One.answerWrite(Resolving, Store.apply(Resolving));
    CHECK(isError(Store.apply(Lost)));
    CHECK(One.has<ClaimGranted>(1));
  }
  SECTION("the lost write comes first") {
    Store.apply(Lost);
    One.answerWrite(Resolving, Store.apply(Resolving));
    One.run();
    CHECK(One.has<ClaimGranted>(1));
  }
  SECTION("the resolving write is refused: the outcome stays unknown") {
    One.answerWrite(Resolving, failure(ErrorKind::Unavailable));
    CHECK(One.isOpen(1));
    Store.apply(Lost);
    One.passTime(milliseconds(100));
    One.run();
    CHECK(One.has<ClaimGranted>(1));
  }
  SECTION("another instance's claim comes first") {
    Other.handle(claimRequest(1, "a"));
    Other.run();
    REQUIRE(Other.has<ClaimGranted>(1));
    CHECK(isError(Store.apply(Lost)));
    One.answerWrite(Resolving, Store.apply(Resolving));
    One.run();
    CHECK(One.has<ClaimPending>(1));
  }
}

TEST_CASE("A claim whose deadline passes in doubt is pending and given back") {
  SharedBucket Store;
  JournalRun One(Store, 1);
  JournalRun Other(Store, 2);
  One.handle(claimRequest(1, "a"));
  One.answerRead();
  auto const Lost = One.loseWrite();
  One.handle(claimRequest(2, "b"));
  One.passTime(seconds(10));
  CHECK(One.has<ClaimPending>(1));
  CHECK(One.has<ClaimUnavailable>(2)); // It was not written.
  SECTION("the write took effect") {
    Store.apply(Lost);
    Other.handle(claimRequest(1, "a"));
    Other.run();
    CHECK(Other.has<ClaimPending>(1));
    One.run();
  }
  SECTION("the write can come no more") {
    One.run();
    CHECK(isError(Store.apply(Lost)));
  }
  Other.handle(claimRequest(2, "a"));
  Other.run();
  CHECK(Other.has<ClaimGranted>(2));
}

TEST_CASE("A claim that is made after its deadline is not granted") {
  SharedBucket Store;
  JournalRun One(Store, 1);
  One.handle(claimRequest(1, "a"));
  One.answerRead();
  One.Now_ += seconds(10);
  One.run();
  CHECK(One.has<ClaimUnavailable>(1));
  One.Now_ -= seconds(10);
  One.handle(claimRequest(2, "a"));
  One.run();
  CHECK(One.has<ClaimGranted>(2));
}

TEST_CASE("An intent of an earlier process stays pending") {
  SharedBucket Store;
  {
    JournalRun Earlier(Store, 1);
    Earlier.handle(claimRequest(1, "a"));
    Earlier.run();
  }
  JournalRun Later(Store, 2);
  Later.handle(claimRequest(1, "a"));
  Later.run();
  CHECK(Later.has<ClaimPending>(1));
}

TEST_CASE("A stale read is ignored") {
  SharedBucket Store;
  JournalRun One(Store, 1);
  JournalRun Other(Store, 2);
  One.handle(claimRequest(1, "a"));
  One.run();
  auto const Old = Store.object({"claims", "0"});
  Other.handle(claimRequest(1, "b"));
  Other.run();
  One.handle(claimRequest(2, "b"));
  One.answerWrite(); // Conflicts.
  One.answerRead(Old);
  CHECK(One.isOpen(2));
  CHECK_FALSE(One.Write_);
  CHECK_FALSE(One.Read_);
  One.passTime(milliseconds(100));
  One.run();
  CHECK(One.has<ClaimPending>(2));
}

TEST_CASE("A bucket keeps intents and drops the oldest finished calls") {
  SharedBucket Store;
  ClaimJournalSettings const Settings{
      .Buckets_ = 1, .FinishedPerBucket_ = 2, .MaximumBucketBytes_ = 4000};
  JournalRun One(Store, 1, Settings);
  for (claims::Ticket Ticket = 1; Ticket <= 3; ++Ticket) {
    One.handle(claimRequest(Ticket, std::to_string(Ticket)));
    One.run();
    One.handle(outcome(std::to_string(Ticket), RunState::Ran));
    One.run();
  }
  One.handle(claimRequest(11, "1")); // Its entry was dropped: it runs again.
  One.handle(claimRequest(12, "2"));
  One.run();
  CHECK(One.has<ClaimGranted>(11));
  CHECK(One.has<ClaimAnswered>(12));
  for (claims::Ticket Ticket = 100; Ticket < 130; ++Ticket) {
    One.handle(claimRequest(Ticket, std::to_string(Ticket)));
    One.run();
    CHECK(Store.Value_.size() <= Settings.MaximumBucketBytes_);
  }
  CHECK(One.has<ClaimGranted>(100));
  CHECK(One.has<ClaimUnavailable>(129));
  One.handle(claimRequest(200, "100"));
  One.run();
  CHECK(One.has<ClaimPending>(200));
}

TEST_CASE("An object that is not a claims bucket is not overwritten") {
  SharedBucket Store;
  Store.Version_ = 5;
  Store.Value_ = GENERATE("no JSON", "{}", R"({"entries":[{"key":"zz"}]})");
  JournalRun One(Store, 1);
  One.handle(claimRequest(1, "a"));
  One.run();
  CHECK(One.has<ClaimUnavailable>(1));
  CHECK(Store.Version_ == 5);
}
