#include "CrashReportFleet.h"

#include <catch2/catch.hpp>

#include <random>
#include <string>
#include <vector>

using namespace laburnum;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t Content = 4711;
constexpr std::size_t MaxCrashes = test::CrashReportFleet::MaxCrashes;
/// Maximum messages per instance until all refuse a content, with ten seconds
/// of repetitions.
constexpr std::size_t MaxMessagesPerInstance = 15;
/// Time within which all instances have to know of the third crash, according
/// to the specification.
constexpr Duration MaxPropagationTime = seconds(3);
AttemptEvidence const Broken{AttemptProgress::RequestSent,
                             AttemptEnd::ConnectionFailed, 0, ""};

/// The content crashes every server.
struct Fleet : test::CrashReportFleet {
  using CrashReportFleet::CrashReportFleet;

  bool isRefusedAt(std::size_t Number) const {
    return Instances_[Number]->Guard_.verdict(Content, Now_) ==
           CrashVerdict::Refuse;
  }
  bool isRefusedByAll() const {
    for (std::size_t Index = 0; Index < Instances_.size(); ++Index)
      if (!isRefusedAt(Index))
        return false;
    return true;
  }

  /// Sends the content to that instance; returns false if it is refused.
  bool send(std::size_t Number) {
    if (isRefusedAt(Number))
      return false;
    auto &Guard = Instances_[Number]->Guard_;
    ServerId const Server("s" + std::to_string(++Crashed_));
    Guard.onStarted(Content, Server, Isolation::Shared);
    post(Instances_[Number]->Dissemination_.onLocalReports(
        Guard.onEnded(Content, Server, Broken, Now_), Now_));
    return true;
  }

  std::size_t Crashed_ = 0;
};

} // namespace

TEST_CASE("A content that crashes servers is refused by all instances once "
          "three have crashed") {
  auto const Count = GENERATE(std::size_t(1), 8, 77, 295);
  Fleet Fleet(Count);
  std::mt19937 Generator(1);
  for (int Sent = 0; Sent < 40; ++Sent) {
    Fleet.send(Generator() % Count);
    Fleet.pass(milliseconds(250));
  }
  CHECK(Fleet.Crashed_ == MaxCrashes);
  CHECK(Fleet.isRefusedByAll());
  CHECK(Fleet.Messages_ < MaxMessagesPerInstance * Count);
}

TEST_CASE("A starting instance receives the refused contents") {
  Fleet Fleet(8);
  for (std::size_t Sent = 0; Sent < MaxCrashes; ++Sent)
    Fleet.send(Sent);
  Fleet.pass(milliseconds(100));
  REQUIRE(Fleet.isRefusedByAll());
  // Restarting one after the other removes each coordinator once.
  for (std::size_t Index = 0; Index < 8; ++Index) {
    Fleet.restart(Index);
    Fleet.pass(milliseconds(500));
    CHECK(Fleet.isRefusedByAll());
  }
  CHECK(Fleet.Crashed_ == MaxCrashes);
}

TEST_CASE("Incidents known to lost coordinators are sent to the next ones") {
  Fleet Fleet(8);
  Fleet.send(0);
  Fleet.send(1);
  Fleet.pass(milliseconds(100));
  for (std::size_t Index = 2; Index < 8; ++Index) {
    Fleet.restart(Index);
    Fleet.pass(milliseconds(100));
  }
  Fleet.send(2);
  Fleet.pass(milliseconds(100));
  CHECK(Fleet.isRefusedByAll());
}

TEST_CASE("A refusal that was lost in transit is repeated in time") {
  Fleet Fleet(8);
  Fleet.send(0);
  Fleet.send(0);
  Fleet.pass(milliseconds(100));
  Fleet.DropsMessages_ = true;
  Fleet.send(0);
  Fleet.pass(milliseconds(100));
  Fleet.DropsMessages_ = false;
  Fleet.pass(MaxPropagationTime);
  CHECK(Fleet.isRefusedByAll());
}

TEST_CASE("A content that is cleared is accepted again by all instances") {
  Fleet Fleet(8);
  auto &Guard = Fleet.Instances_[5]->Guard_;
  Guard.onStarted(Content, ServerId("well"), Isolation::Shared);
  for (std::size_t Sent = 0; Sent < MaxCrashes; ++Sent)
    Fleet.send(Sent);
  Fleet.pass(milliseconds(100));
  REQUIRE(Fleet.isRefusedByAll());
  AttemptEvidence const CompleteAnswer{AttemptProgress::AnswerWhole,
                                       AttemptEnd::Answered, 200, ""};
  Fleet.post(Fleet.Instances_[5]->Dissemination_.onLocalReports(
      Guard.onEnded(Content, ServerId("well"), CompleteAnswer, Fleet.Now_),
      Fleet.Now_));
  SECTION("at once") { Fleet.pass(milliseconds(100)); }
  SECTION("also when the first message is lost") {
    Fleet.InFlight_.clear();
    Fleet.pass(MaxPropagationTime);
  }
  for (std::size_t Index = 0; Index < 8; ++Index)
    CHECK_FALSE(Fleet.isRefusedAt(Index));
}

TEST_CASE("Sound requests are served though five servers crashed under their "
          "part before anybody answered it or knew of three crashes") {
  auto const Instances = GENERATE(std::size_t(1), 8, 24, 77);
  Fleet Fleet(Instances);
  constexpr std::uint64_t Deadly = 1;
  constexpr std::uint64_t Sound = 2;
  constexpr std::size_t Crashes = 5;
  RequestFingerprints const Crashing{100, {Sound, Deadly}};
  RequestFingerprints const Healthy{200, {Sound}};
  std::vector<SendToPeer> Delayed;
  for (std::size_t Number = 0; Number < Crashes; ++Number) {
    auto &Instance = *Fleet.Instances_[Number % Instances];
    ServerId const Server("s" + std::to_string(Number));
    Instance.Guard_.onStarted(Crashing, Server, Fleet.Now_);
    auto const Messages = Instance.Dissemination_.onLocalReports(
        Instance.Guard_.onEnded(Crashing, Server, Broken, Fleet.Now_),
        Fleet.Now_);
    Delayed.insert(Delayed.end(), Messages.begin(), Messages.end());
  }
  Fleet.post(Delayed);
  Fleet.pass(milliseconds(100));

  auto &Trying = *Fleet.Instances_.back();
  REQUIRE(Trying.Guard_.refusal(Crashing, Fleet.Now_));
  REQUIRE_FALSE(Trying.Guard_.refusal(Healthy, Fleet.Now_));
  Trying.Guard_.onStarted(Healthy, ServerId("well"), Fleet.Now_);
  CHECK(Trying.Guard_.refusal(Healthy, Fleet.Now_));
  AttemptEvidence const CompleteAnswer{AttemptProgress::AnswerWhole,
                                       AttemptEnd::Answered, 200, ""};
  Fleet.post(Trying.Dissemination_.onLocalReports(
      Trying.Guard_.onEnded(Healthy, ServerId("well"), CompleteAnswer,
                            Fleet.Now_),
      Fleet.Now_));
  Fleet.pass(milliseconds(100));
  for (auto const &Instance : Fleet.Instances_) {
    CHECK_FALSE(Instance->Guard_.refusal(Healthy, Fleet.Now_));
    CHECK(Instance->Guard_.refusal(Crashing, Fleet.Now_));
  }
}
