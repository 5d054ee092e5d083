#include "LeaseFleet.h"

#include <LibPlacement/LeaseRecord.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>

using namespace laburnum;
using test::LeaseFleet;
using test::LeaseWriteOutcome;

namespace {

using std::chrono::seconds;

} // namespace

namespace {

constexpr Duration Length = seconds(10);

/// A single instance that has just sent its first write of the lease.
struct FirstWrite {
  FirstWrite() {
    lease::Settings OwnSettings;
    OwnSettings.Self_ = InstanceId("i0");
    OwnSettings.Length_ = Length;
    Holder_ = LeaseHolder(OwnSettings);
    Member Self;
    Self.Instance_.Id_ = OwnSettings.Self_;
    Holder_.handle(lease::MembersChanged{{Self}}, Sent_);
    Holder_.handle(lease::TimePassed{}, Sent_);
    auto const Actions = Holder_.handle(lease::LeaseRead{}, Sent_);
    Write_ = std::get<lease::WriteLease>(Actions.at(0));
  }

  TimePoint const Sent_ = TimePoint(seconds(1000));
  LeaseHolder Holder_{lease::Settings()};
  lease::WriteLease Write_;
};

} // namespace

TEST_CASE_METHOD(FirstWrite, "The lease length counts from before its write") {
  Holder_.handle(lease::LeaseWritten{7}, Sent_ + seconds(4));
  REQUIRE(Holder_.held(Sent_ + seconds(4)));
  CHECK(Holder_.held(Sent_ + seconds(4))->ValidUntil_ == Sent_ + Length);
  CHECK(!Holder_.held(Sent_ + Length));
}

TEST_CASE_METHOD(FirstWrite,
                 "A write answered after the lease length acquires no lease") {
  Holder_.handle(lease::LeaseWritten{7}, Sent_ + Length);
  CHECK(!Holder_.held(Sent_ + Length));
}

TEST_CASE_METHOD(FirstWrite, "Reading back finds the write by its nonce") {
  Holder_.handle(lease::WriteUnknown{}, Sent_ + seconds(2));
  Holder_.handle(lease::LeaseRead{{lease::leaseKey(), 7, Write_.Value_}},
                 Sent_ + seconds(3));
  auto const Held = Holder_.held(Sent_ + seconds(3));
  REQUIRE(Held);
  CHECK(Held->Fencing_ == 7);
  CHECK(Held->ValidUntil_ == Sent_ + Length);
}

TEST_CASE("One of many instances holds the lease and keeps it") {
  LeaseFleet Fleet(8);
  Fleet.run(seconds(10));
  REQUIRE(Fleet.holders() == 1);
  auto const First = Fleet.holder();
  auto const Fencing = Fleet.held(First)->Fencing_;
  Fleet.run(seconds(300));
  CHECK(Fleet.holder() == First);
  CHECK(Fleet.held(First)->Fencing_ == Fencing);
  CHECK(Fleet.MaxHolders_ == 1);
}

TEST_CASE("A paused holder wakes without the lease") {
  LeaseFleet Fleet(3);
  Fleet.run(seconds(10));
  auto const Old = Fleet.holder();
  auto const Fencing = Fleet.held(Old)->Fencing_;
  Fleet.Paused_[Old] = true;
  Fleet.run(seconds(60));
  // The paused instance has handled no event; held() goes by the clock alone.
  CHECK(!Fleet.held(Old));
  REQUIRE(Fleet.holders() == 1);
  auto const New = Fleet.holder();
  CHECK(New != Old);
  CHECK(Fleet.held(New)->Fencing_ > Fencing);
  Fleet.Paused_[Old] = false;
  Fleet.run(seconds(60));
  CHECK(Fleet.holder() == New);
  CHECK(Fleet.MaxHolders_ == 1);
}

TEST_CASE("A lost answer to the acquiring write is resolved by reading") {
  LeaseFleet Fleet(3);
  Fleet.Writes_ = {LeaseWriteOutcome::LostAnswer};
  Fleet.run(seconds(3));
  REQUIRE(Fleet.holders() == 1);
  CHECK(Fleet.held(Fleet.holder())->Fencing_ == Fleet.Object_.Version_);
  CHECK(Fleet.MaxHolders_ == 1);
}

TEST_CASE("Lost answers to renewals do not lose the lease") {
  LeaseFleet Fleet(3);
  Fleet.run(seconds(10));
  auto const First = Fleet.holder();
  auto const Fencing = Fleet.held(First)->Fencing_;
  for (int Index = 0; Index < 20; ++Index) {
    Fleet.Writes_ = {LeaseWriteOutcome::LostAnswer};
    Fleet.run(seconds(4));
    REQUIRE(Fleet.holder() == First);
    CHECK(Fleet.held(First)->Fencing_ == Fencing);
  }
}

TEST_CASE("A delayed renewal extends the lease only from when it was sent") {
  LeaseFleet Fleet(1);
  Fleet.run(seconds(3));
  REQUIRE(Fleet.holders() == 1);
  Fleet.Writes_ = {LeaseWriteOutcome::Delayed};
  while (!Fleet.Writes_.empty())
    Fleet.step();
  auto const ValidUntil = Fleet.held(0)->ValidUntil_;
  Fleet.IsDown_ = true;
  Fleet.run(seconds(8));
  Fleet.arrive();
  Fleet.IsDown_ = false;
  Fleet.Paused_[0] = true;
  Fleet.run(seconds(6));
  CHECK(!Fleet.held(0));
  Fleet.Paused_[0] = false;
  Fleet.run(seconds(2));
  REQUIRE(Fleet.held(0));
  CHECK(Fleet.held(0)->GainedAt_ > ValidUntil);
}

TEST_CASE("A late acquiring write does not make a second holder") {
  LeaseFleet Fleet(3);
  Fleet.Writes_ = {LeaseWriteOutcome::Delayed};
  Fleet.run(seconds(1));
  Fleet.arrive();
  Fleet.run(seconds(60));
  CHECK(Fleet.MaxHolders_ == 1);
  CHECK(Fleet.holders() == 1);
}

TEST_CASE("Only one of several challengers takes over") {
  LeaseFleet Fleet(4);
  Fleet.run(seconds(10));
  auto const Old = Fleet.holder();
  Fleet.Paused_[Old] = true;
  // All challengers read at every step until one of them takes over.
  for (int Index = 0; Index < 100; ++Index) {
    Fleet.step();
    for (std::size_t Challenger = 0; Challenger < 4; ++Challenger)
      if (Challenger != Old)
        Fleet.feed(Challenger, lease::LeaseRead{Fleet.Object_});
  }
  CHECK(Fleet.MaxHolders_ == 1);
  CHECK(Fleet.holders() == 1);
}

TEST_CASE("The holder's lease expires in a platform outage") {
  LeaseFleet Fleet(3);
  Fleet.run(seconds(10));
  auto const First = Fleet.holder();
  Fleet.IsDown_ = true;
  Fleet.run(seconds(6));
  CHECK(Fleet.held(First));
  Fleet.run(seconds(5));
  CHECK(Fleet.holders() == 0);
  Fleet.run(seconds(300));
  Fleet.IsDown_ = false;
  Fleet.run(seconds(40));
  CHECK(Fleet.holders() == 1);
  CHECK(Fleet.MaxHolders_ == 1);
}

TEST_CASE("A leaving or fenced-out instance yields the lease") {
  LeaseFleet Fleet(2);
  Fleet.run(seconds(10));
  auto const First = Fleet.holder();
  SECTION("superseded") {
    auto const Fencing = Fleet.held(First)->Fencing_;
    Fleet.feed(First, lease::FencedOut{});
    CHECK(!Fleet.held(First));
    Fleet.run(seconds(30));
    CHECK(Fleet.held(Fleet.holder())->Fencing_ > Fencing);
  }
  SECTION("leaving") {
    Member Other;
    Other.Instance_.Id_ = InstanceId("i" + std::to_string(1 - First));
    Fleet.feed(First, lease::MembersChanged{{Other}});
    Fleet.run(seconds(40));
    CHECK(Fleet.holder() == 1 - First);
  }
  CHECK(Fleet.MaxHolders_ == 1);
}

TEST_CASE("The platform's calls do not grow with the fleet") {
  constexpr std::size_t Count = 410;
  LeaseFleet Fleet(Count);
  Fleet.run(seconds(60));
  Fleet.Reads_ = 0;
  auto const Before = Fleet.Object_.Version_;
  Fleet.run(seconds(600));
  auto const Writes = (Fleet.Object_.Version_ - Before) / 3;
  auto const PerSecond =
      (static_cast<double>(Fleet.Reads_) + static_cast<double>(Writes)) / 600;
  std::cout << "410 instances: the lease costs " << PerSecond
            << " platform calls a second\n";
  CHECK(PerSecond < 3);
  CHECK(Fleet.MaxHolders_ == 1);
}

TEST_CASE("Any surviving first candidate takes over in time") {
  constexpr std::size_t Count = 8;
  lease::Settings Settings;
  Settings.Length_ = seconds(4);
  Settings.PollPeriod_ = std::chrono::milliseconds(1500);
  Settings.FirstCandidates_ = Count;
  LeaseFleet Fleet(Count, Settings);
  Fleet.run(seconds(20));
  auto const Survivor = (Fleet.holder() + GENERATE(1U, 2U, 5U, 7U)) % Count;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Fleet.Paused_[Index] = Index != Survivor;
  // The lease length, the margin, and one poll period before and after.
  Fleet.run(seconds(4 + 1) + 2 * Settings.PollPeriod_);
  CHECK(Fleet.holder() == Survivor);
  CHECK(Fleet.MaxHolders_ == 1);
}

TEST_CASE("Only watching another holder uses reads that may lag") {
  LeaseFleet Fleet(4);
  Fleet.run(seconds(30));
  Fleet.Reads_ = Fleet.LatestReads_ = 0;
  SECTION("while one holds it") {
    Fleet.run(seconds(60));
    CHECK(Fleet.Reads_ > 10);
    CHECK(Fleet.LatestReads_ == 0);
  }
  SECTION("after a write whose answer was lost") {
    Fleet.Writes_ = {LeaseWriteOutcome::LostAnswer};
    Fleet.run(seconds(10));
    CHECK(Fleet.LatestReads_ > 0);
  }
}

TEST_CASE(
    "After the store was restored the holder goes on with a higher fencing "
    "number, and there are never two") {
  LeaseFleet Fleet(4);
  Fleet.run(seconds(2));
  auto const Earlier = Fleet.Object_;
  auto const First = Fleet.holder();
  REQUIRE(Fleet.held(First));
  std::optional<StoredObject> Older;
  SECTION("an older record of the holder") { Older = Earlier; }
  SECTION("no record") {}
  SECTION("a record of another instance") {
    Older = Earlier;
    Older->Value_ = encodeLease({InstanceId("i9/x"), Nonce("n")});
  }
  Fleet.run(seconds(20));
  auto const Fencing = Fleet.held(First)->Fencing_;
  Fleet.restore(Older);
  Fleet.run(seconds(5));
  CHECK(Fleet.holder() == First);
  REQUIRE(Fleet.held(First));
  CHECK(Fleet.held(First)->Fencing_ > Fencing);
  Fleet.run(seconds(20));
  CHECK(Fleet.MaxHolders_ == 1);
}

TEST_CASE(
    "A holder that is paused while the store is restored is replaced only "
    "when its lease has ended") {
  LeaseFleet Fleet(4);
  Fleet.run(seconds(2));
  auto const Older = Fleet.Object_;
  auto const First = Fleet.holder();
  Fleet.run(seconds(20));
  auto const Fencing = Fleet.held(First)->Fencing_;
  Fleet.Paused_[First] = true;
  Fleet.restore(Older);
  Fleet.run(seconds(40));
  CHECK(Fleet.holder() != First);
  REQUIRE(Fleet.holders() == 1);
  CHECK(Fleet.held(Fleet.holder())->Fencing_ > Fencing);
  Fleet.Paused_[First] = false;
  Fleet.run(seconds(20));
  CHECK(Fleet.MaxHolders_ == 1);
}

// Guards against two holders at once where the name of one instance begins with
// another's.
TEST_CASE("A lease of an instance whose name begins with this one's is not "
          "taken over at once") {
  auto const [Holder, IsOwn] =
      GENERATE(table<std::string, bool>({{"i.7f3a/9b", true},
                                         {"i.9b/7f3a.1", true},
                                         {"i.b.7f3a/9b", false},
                                         {"i.b/c.7f3a/9b", false},
                                         {"ib.7f3a/9b", false}}));
  lease::Settings Own;
  Own.Self_ = InstanceId("i.11");
  Own.PreviousIncarnations_ = "i.";
  Own.Length_ = Length;
  LeaseHolder Candidate(Own);
  Member Self;
  Self.Instance_.Id_ = Own.Self_;
  TimePoint const Start(seconds(1000));
  Candidate.handle(lease::MembersChanged{{Self}}, Start);
  Candidate.handle(lease::TimePassed{}, Start);
  auto const Actions = Candidate.handle(
      lease::LeaseRead{{lease::leaseKey(), 7,
                        encodeLease({InstanceId(Holder), Nonce("n")})}},
      Start);
  CHECK(std::any_of(Actions.begin(), Actions.end(), [](auto const &Action) {
          return std::holds_alternative<lease::WriteLease>(Action);
        }) == IsOwn);
}
