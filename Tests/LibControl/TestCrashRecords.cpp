#include <Fakes/FakeAsyncStore.h>

#include <LibControl/CrashRecords.h>

#include <catch2/catch.hpp>

#include <limits>
#include <set>

using namespace laburnum;
using test::FakeAsyncStore;
using test::StoreFault;

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration Epoch = std::chrono::hours(490000);

CrashReport report(std::uint64_t Incident, Duration Age = Duration(0)) {
  return {Incident, 7, ServerId("s" + std::to_string(Incident)),
          CrashEvidence::Crashed, Age};
}

/// One incarnation of an instance.
struct Incarnation {
  explicit Incarnation(FakeAsyncStore &Store)
      : Records_(std::make_shared<CrashRecords>(
            Store, [this](std::vector<CrashReport> const &Reports) {
              Restored_ = Reports;
            })) {}

  std::vector<CrashReport> Restored_;
  std::shared_ptr<CrashRecords> Records_;
};

struct Fixture {
  void pass(Incarnation &Target, Duration Time) {
    for (auto const End = Now_ + Time; Now_ < End; Now_ += seconds(1)) {
      Target.Records_->tick(Epoch + (Now_ - TimePoint()), Now_);
      Store_.deliver();
    }
  }
  void save(Incarnation &Target, std::vector<CrashReport> const &Reports) {
    Target.Records_->save(Reports, Epoch + (Now_ - TimePoint()));
  }

  FakeAsyncStore Store_;
  TimePoint Now_{};
  Incarnation First_{Store_};
};

} // namespace

TEST_CASE_METHOD(
    Fixture,
    "Saved crashes are restored by later incarnations with their age") {
  pass(First_, seconds(1));
  save(First_, {report(1), report(2, seconds(10)), report(3)});
  pass(First_, seconds(2));
  Now_ += seconds(18);
  Incarnation Second(Store_);
  pass(Second, seconds(1));
  REQUIRE(Second.Restored_.size() == 3);
  CHECK(Second.Restored_[0] == report(1, seconds(20)));
  CHECK(Second.Restored_[1] == report(2, seconds(30)));
}

// Guards against a peer's text that ends the process where it is written as
// JSON.
TEST_CASE_METHOD(Fixture, "A server that is not UTF-8 does not keep the other "
                          "crashes from the store") {
  auto Odd = report(2);
  Odd.Server_ = ServerId("\xff");
  save(First_, {report(1), Odd});
  pass(First_, seconds(2));
  Incarnation Second(Store_);
  pass(Second, seconds(1));
  REQUIRE(Second.Restored_.size() == 2);
  CHECK(Second.Restored_[0].Server_ == report(1).Server_);
}

TEST_CASE_METHOD(Fixture, "Crashes saved by several instances are merged") {
  Incarnation Second(Store_);
  save(First_, {report(1)});
  save(Second, {report(2)});
  // Both read before either writes, so that one write conflicts.
  First_.Records_->tick(Epoch, Now_);
  Second.Records_->tick(Epoch, Now_);
  Store_.deliver();
  pass(First_, seconds(10));
  pass(Second, seconds(10));
  Incarnation Third(Store_);
  pass(Third, seconds(1));
  CHECK(Third.Restored_.size() == 2);
}

TEST_CASE_METHOD(Fixture,
                 "Saving and reading resume after an outage and lost answers") {
  Store_.Fault_ = GENERATE(StoreFault::Down, StoreFault::LostAnswer);
  save(First_, {report(1)});
  pass(First_, seconds(10));
  Store_.Fault_ = StoreFault::None;
  pass(First_, seconds(30));
  Incarnation Second(Store_);
  Store_.Fault_ = StoreFault::Down;
  pass(Second, seconds(5));
  CHECK(Second.Restored_.empty());
  Store_.Fault_ = StoreFault::None;
  pass(Second, seconds(20));
  CHECK(Second.Restored_.size() == 1);
}

TEST_CASE_METHOD(Fixture,
                 "Old crashes and an object of another format are ignored") {
  ObjectKey const Key{"entry-crashes", "contents"};
  Store_.put(Key, GENERATE("{\"crashes\":7}", "no json", "[]"), seconds(1),
             [](Result<Version> const &) {});
  Store_.deliver();
  save(First_, {report(1), report(2, minutes(10))});
  pass(First_, seconds(10));
  Incarnation Second(Store_);
  pass(Second, seconds(1));
  REQUIRE(Second.Restored_.size() == 1);
  CHECK(Second.Restored_[0].Incident_ == 1);
}

// Guards against a foreign text whose reports last for ever and displace all
// others.
TEST_CASE_METHOD(Fixture,
                 "Stored crashes of the future count as of now, and do "
                 "not displace others") {
  constexpr int MaxRecords = 300;
  std::int64_t const AtMs = GENERATE(std::int64_t(4000000000000),
                                     std::numeric_limits<std::int64_t>::max());
  std::string Crashes;
  for (int Number = 0; Number < MaxRecords; ++Number)
    Crashes += (Crashes.empty() ? "" : ",") +
               ("{\"incident\":" + std::to_string(1000 + Number)) +
               ",\"content\":7,\"server\":\"s\",\"evidence\":\"crashed\","
               "\"at_ms\":" +
               std::to_string(AtMs) + "}";
  Store_.put({"entry-crashes", "contents"}, "{\"crashes\":[" + Crashes + "]}",
             seconds(1), [](Result<Version> const &) {});
  Store_.deliver();
  Now_ += seconds(1);
  save(First_, {report(1)});
  pass(First_, seconds(10));
  // The others have grown old since they were first read and written.
  Now_ += minutes(9);
  save(First_, {report(2)});
  pass(First_, minutes(2));
  save(First_, {report(3)});
  pass(First_, seconds(2));
  Incarnation Second(Store_);
  pass(Second, seconds(1));
  std::set<std::uint64_t> Incidents;
  for (auto const &Restored : Second.Restored_)
    Incidents.insert(Restored.Incident_);
  CHECK(Incidents == std::set<std::uint64_t>{2, 3});
}
