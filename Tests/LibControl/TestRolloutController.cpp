#include <LibControl/RolloutController.h>
#include <LibControl/RolloutRecordCodec.h>

#include <catch2/catch.hpp>

#include <set>

using namespace laburnum;
using namespace laburnum::rollout;

using std::chrono::seconds;

namespace {

ServiceName const Service("engine");
RolloutOrder const Order{Service, "v2", seconds(20)};
constexpr std::uint64_t OrderId = 77;
constexpr Duration Begin = seconds(1700000000);

VersionReport reportOf(AnswerCounts const &Target, AnswerCounts const &Others,
                       std::uint64_t OthersRunning = 0,
                       std::string const &Route = "/r/") {
  return {
      {{Service, "v2", Route, Target.Answers_, Target.Bad_, 0, 1},
       {Service, "v1", Route, Others.Answers_, Others.Bad_, 0, OthersRunning}}};
}

/// A store with the record, and the holders of the lease one after the other.
struct Rollouts {
  Rollouts() { restart(); }

  /// Another instance takes over the lease.
  void restart() {
    Controller_.emplace(std::make_unique<SequentialJudge>());
    Controller_->setOrder(Service, 5, OrderId, Order);
    Controller_->setListed({{Service, {{"v1", 3}, {"v2", 3}}}});
    if (Record_)
      Controller_->setRecord(Service, Record_, Version_);
  }
  /// Lets time pass until After, and carries out what is decided.
  void advanceTo(Duration After) {
    for (; Time_ <= After; Time_ += std::chrono::milliseconds(200))
      for (auto const &Action : Controller_->advance(Begin + Time_, now())) {
        if (auto const *const Write = std::get_if<WriteRecord>(&Action))
          write(*Write);
        if (auto const *const Status = std::get_if<WriteStatus>(&Action))
          write(*Status);
        if (auto const *const Decided = std::get_if<StageDecided>(&Action))
          Reason_ = Decided->Reason_;
      }
  }
  void write(WriteRecord const &Write) {
    ++Writes_;
    if (WriteFailure_ || Write.Expected_ != Version_) {
      Controller_->onWriteFailed(
          Service, WriteFailure_.value_or(ErrorKind::Conflict), now());
      // What the store holds is read again.
      return Controller_->setRecord(Service, Record_, Version_);
    }
    Record_ = detail::decodeRolloutRecord(detail::encode(Write.Record_));
    Controller_->setRecord(Service, Record_, ++Version_);
  }
  void write(WriteStatus const &Write) {
    ++StatusWrites_;
    if (IsStatusRefused_)
      return Controller_->onStatusFailed(Service, ErrorKind::InvalidArgument,
                                         now());
    Status_ = Write.Stage_;
    Controller_->onStatusWritten(Service);
  }
  TimePoint now() const { return TimePoint(Time_); }
  double share() const {
    for (auto const &Share : Controller_->shares())
      if (Share.Service_ == Service && Share.Target_ == "v2")
        return Share.PartsPerMillion_ / 1e6;
    return -1.0;
  }

  std::optional<RolloutController> Controller_;
  std::optional<RolloutRecord> Record_;
  Version Version_ = 0;
  Duration Time_{};
  std::optional<RolloutStage> Status_;
  std::string Reason_;
  std::optional<ErrorKind> WriteFailure_;
  bool IsStatusRefused_ = false;
  std::size_t Writes_ = 0;
  std::size_t StatusWrites_ = 0;
};

} // namespace

TEST_CASE("A good version gets more and more requests and is completed in "
          "time") {
  Rollouts Run;
  Run.advanceTo(seconds(1));
  CHECK(Run.Status_ == RolloutStage::Trial);
  CHECK(Run.share() <= 0.05);
  Run.Controller_->onReport(InstanceId("i1"), reportOf({300, 5}, {9000, 200}));
  Run.advanceTo(seconds(13));
  CHECK(Run.Record_->Stage_ == RolloutStage::Enlarged);
  CHECK(Run.share() < 0.5);
  Run.Controller_->onReport(InstanceId("i1"),
                            reportOf({600, 9}, {9900, 210}, 12));
  Run.advanceTo(seconds(16));
  CHECK(Run.share() == 1.0);
  CHECK(Run.Status_ == RolloutStage::Full);
  SECTION("once the other versions are idle") {
    Run.Controller_->onReport(InstanceId("i1"),
                              reportOf({900, 12}, {9900, 210}, 0));
    Run.advanceTo(seconds(18));
    CHECK(Run.Status_ == RolloutStage::Completed);
    CHECK(Run.share() == 1.0);
  }
  SECTION("not while they have requests in progress") {
    Run.advanceTo(seconds(24));
    CHECK(Run.Status_ == RolloutStage::Full);
    Run.advanceTo(seconds(45));
    CHECK(Run.Status_ == RolloutStage::Completed);
  }
}

TEST_CASE("A version whose answers are worse is rolled back at once") {
  Rollouts Run;
  auto const Begun = GENERATE(1, 13, 15);
  // The other versions have requests in progress.
  Run.Controller_->onReport(InstanceId("i1"),
                            reportOf({100, 1}, {9000, 90}, 3));
  Run.advanceTo(seconds(Begun));
  SECTION("everywhere") {
    Run.Controller_->onReport(InstanceId("i1"),
                              reportOf({200, 31}, {9000, 90}));
  }
  SECTION("on one route") {
    Run.Controller_->onReport(InstanceId("i2"),
                              reportOf({20, 12}, {900, 9}, 0, "/odd/"));
  }
  SECTION("as several instances see it together") {
    for (auto const *const Name : {"i2", "i3", "i4", "i5", "i6"})
      Run.Controller_->onReport(InstanceId(Name), reportOf({8, 3}, {500, 5}));
  }
  Run.advanceTo(seconds(Begun + 1));
  CHECK(Run.Status_ == RolloutStage::RolledBack);
  CHECK(Run.share() == 0.0);
  // It stays so, whoever holds the lease.
  Run.restart();
  Run.advanceTo(seconds(30));
  CHECK(Run.Status_ == RolloutStage::RolledBack);
  CHECK(Run.share() == 0.0);
}

TEST_CASE("Another holder of the lease goes on where the last one has come") {
  Rollouts Run;
  Run.advanceTo(seconds(13));
  CHECK(Run.Record_->Stage_ == RolloutStage::Enlarged);
  Run.restart();
  CHECK(Run.share() == 0.25);
  Run.Status_.reset();
  Run.advanceTo(seconds(14));
  // The holder before may have died before it wrote the status.
  CHECK(Run.Status_ == RolloutStage::Enlarged);
  Run.advanceTo(seconds(18));
  CHECK(Run.Status_ == RolloutStage::Completed);
}

TEST_CASE("Nothing is decided that the store has not taken") {
  Rollouts Run;
  Run.advanceTo(seconds(1));
  Run.WriteFailure_ = ErrorKind::Unavailable;
  Run.advanceTo(seconds(15));
  CHECK(Run.share() <= 0.05);
  CHECK(Run.Record_->Stage_ == RolloutStage::Trial);
  Run.WriteFailure_.reset();
  Run.advanceTo(seconds(16));
  CHECK(Run.Record_->Stage_ != RolloutStage::Trial);
}

TEST_CASE("A holder that has lost the lease overwrites no decision") {
  Rollouts Run;
  Run.advanceTo(seconds(1));
  auto Older = std::move(*Run.Controller_);
  Run.restart();
  Run.Controller_->onReport(InstanceId("i1"), reportOf({100, 60}, {9000, 90}));
  Run.advanceTo(seconds(2));
  REQUIRE(Run.Record_->Stage_ == RolloutStage::RolledBack);
  for (auto const &Action : Older.advance(Begin + seconds(13), Run.now()))
    if (auto const *const Write = std::get_if<WriteRecord>(&Action))
      CHECK(Write->Expected_ != Run.Version_);
}

TEST_CASE("An order that cannot be carried out is rolled back with its "
          "reason") {
  Rollouts Run;
  SECTION("as it cannot be read") {
    Run.Controller_->setOrder(Service, 5, OrderId, "it names no version");
    Run.advanceTo(seconds(1));
    CHECK(Run.Reason_ == "it names no version");
  }
  SECTION("as no server of the version comes") {
    Run.Controller_->setListed({{Service, {{"v1", 3}}}});
    Run.advanceTo(seconds(19));
    CHECK(Run.Status_ == RolloutStage::Trial);
    Run.advanceTo(seconds(21));
    CHECK(Run.Reason_ == "no server of the version");
  }
  CHECK(Run.Status_ == RolloutStage::RolledBack);
}

TEST_CASE("A second order begins anew, and an order that is gone ends") {
  Rollouts Run;
  Run.Controller_->onReport(InstanceId("i1"),
                            reportOf({100, 1}, {9000, 90}, 3));
  Run.advanceTo(seconds(15));
  REQUIRE(Run.Record_->Stage_ == RolloutStage::Full);
  SECTION("a second order") {
    Run.Controller_->setOrder(Service, 6, OrderId + 1,
                              RolloutOrder{Service, "v3", seconds(20)});
    CHECK(Run.Controller_->shares().empty());
    Run.advanceTo(seconds(16));
    CHECK(Run.Record_->What_.Target_ == "v3");
    CHECK(Run.Record_->Stage_ == RolloutStage::Trial);
  }
  SECTION("no order any more") {
    Run.Controller_->removeOrder(Service);
    CHECK(Run.Controller_->shares().empty());
    Run.advanceTo(seconds(16));
    CHECK(Run.Record_->Order_ == 0);
    CHECK(Run.Record_->What_.Service_ == Service);
  }
}

TEST_CASE("A record is unchanged by encoding, and other text is none") {
  RolloutRecord const Record{7, Order, RolloutStage::Full, Begin};
  CHECK(detail::decodeRolloutRecord(detail::encode(Record)) == Record);
  for (auto const *const Text : {"", "{}", "[1]", "{\"order\":\"x\"}"})
    CHECK_FALSE(detail::decodeRolloutRecord(Text));
}

// Guards against a peer's text that ends the process where it is written as
// JSON.
TEST_CASE("The record of an order that is not UTF-8 is written") {
  RolloutRecord Record;
  Record.What_ = {ServiceName("s\xff"), "v\xff", seconds(20)};
  Record.Stage_ = RolloutStage::Trial;
  auto const Stored = detail::decodeRolloutRecord(detail::encode(Record));
  REQUIRE(Stored);
  CHECK(Stored->What_ ==
        RolloutOrder{ServiceName("s\uFFFD"), "v\uFFFD", seconds(20)});
  CHECK(Stored->Stage_ == RolloutStage::Trial);
}

// Guards against the store being sent the same write several times a second.
TEST_CASE("Writes that the store refuses are repeated after pauses that double "
          "up to 16 s") {
  Rollouts Run;
  // After 1, 2, 4, 8 and then 16 s.
  SECTION("of the record") {
    Run.WriteFailure_ = ErrorKind::InvalidArgument;
    Run.advanceTo(seconds(16));
    CHECK(Run.Writes_ == 5);
    Run.advanceTo(seconds(64));
    CHECK(Run.Writes_ == 8);
    Run.WriteFailure_.reset();
    Run.advanceTo(seconds(80));
    CHECK(Run.Status_);
  }
  SECTION("of the status, which delays no decision") {
    Run.IsStatusRefused_ = true;
    Run.advanceTo(seconds(10));
    CHECK(Run.StatusWrites_ == 4);
    Run.Controller_->onReport(InstanceId("i1"),
                              reportOf({200, 90}, {9000, 90}));
    Run.advanceTo(seconds(11));
    CHECK(Run.Record_->Stage_ == RolloutStage::RolledBack);
    Run.IsStatusRefused_ = false;
    Run.advanceTo(seconds(30));
    CHECK(Run.Status_ == RolloutStage::RolledBack);
    CHECK(Run.StatusWrites_ == 5);
  }
}
