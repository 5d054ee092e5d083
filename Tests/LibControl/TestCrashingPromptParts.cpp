#include "CrashReportFleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace laburnum;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The users' bounds: from ContactTime after the fifth crash under a part on,
/// at most MaxLateRequests with it reach servers, and from twice that time on
/// at least half of the sound requests begin at the first attempt. Requests at
/// instances that started within ContactTime do not count.
constexpr std::size_t CountedCrashes = 5;
constexpr Duration ContactTime = seconds(3);
constexpr std::size_t MaxLateRequests = 3;
constexpr std::size_t MinSoundRequests = 20;

constexpr Duration Step = test::CrashReportFleet::MessageDelay;
constexpr Duration Length = seconds(40);
constexpr Duration Downtime = seconds(3);
constexpr std::size_t Servers = 12;
constexpr std::size_t Sessions = 61;
constexpr std::uint64_t FirstPart = 1000000;
constexpr std::uint64_t FirstSessionPart = 2000000;
constexpr std::uint64_t FirstDeadlyPart = 3000000;
AttemptEvidence const Broken{AttemptProgress::AnswerBegun,
                             AttemptEnd::ConnectionFailed, 0, ""};
AttemptEvidence const CompleteAnswer{AttemptProgress::AnswerWhole,
                                     AttemptEnd::Answered, 200, ""};

enum class Kills { None, OneByOne, AllAtOnce };
enum class Resumption { Never, Once };

struct Play {
  std::size_t Instances_ = 8;
  double DeadlyPerSecond_ = 0.7; ///< For each deadly part.
  double SoundPerSecond_ = 40.0;
  std::size_t DeadlyParts_ = 1;
  std::size_t Place_ = 0; ///< Of the deadly part among the shared ones.
  Resumption Resumption_ = Resumption::Once;
  Duration OtherCrashes_{}; ///< Period of crashes for other reasons; 0: none.
  Kills Kills_ = Kills::None;
  Duration KillPeriod_ = seconds(2); ///< AllAtOnce: once, after this time.
};

/// Callers, entry instances and servers of which a part of a prompt crashes
/// each that begins to answer it.
class Simulation {
public:
  Simulation(Play const &Play, std::uint64_t Seed)
      : Play_(Play), Generator_(Seed), Fleet_(Play.Instances_),
        Crashes_(Play.DeadlyParts_), Arrivals_(Play.DeadlyParts_),
        StartedAt_(Play.Instances_, -2 * ContactTime) {
    for (auto &Incarnation : Incarnations_)
      Incarnation = 1;
  }

  void run() {
    for (; now() < Length; Fleet_.pass(Step)) {
      if (chance(Play_.SoundPerSecond_))
        sendSound();
      for (std::size_t Part = 0; Part < Play_.DeadlyParts_; ++Part)
        if (now() > seconds(2) && chance(Play_.DeadlyPerSecond_))
          sendDeadly(Part);
      if (Play_.OtherCrashes_ > Duration(0) &&
          now() % Play_.OtherCrashes_ < Step)
        crash(pick(Servers));
      killInstances();
      endAttempts();
      if (now() % seconds(1) < Step)
        save();
    }
  }

  /// Requests with the part that reached servers too late.
  std::size_t lateRequests(std::size_t Part) const {
    if (Crashes_[Part].size() < CountedCrashes)
      return 0;
    auto const From = Crashes_[Part][CountedCrashes - 1] + ContactTime;
    return static_cast<std::size_t>(
        std::count_if(Arrivals_[Part].begin(), Arrivals_[Part].end(),
                      [&](Arrival const &Each) {
                        return Each.At_ > From && Each.IsInTouch_;
                      }));
  }
  std::size_t crashes(std::size_t Part) const { return Crashes_[Part].size(); }
  /// Sound requests from twice ContactTime after the last counted crash on, and
  /// those of them that a server began at the first attempt.
  std::pair<std::size_t, std::size_t> soundRequests() const {
    Duration From{};
    for (auto const &OfPart : Crashes_)
      if (!OfPart.empty())
        From =
            std::max(From, OfPart[std::min(OfPart.size(), CountedCrashes) - 1]);
    From += 2 * ContactTime;
    std::size_t All = 0;
    std::size_t Begun = 0;
    for (auto const &[At, IsInTouch, HasBegun] : SoundRequests_)
      if (At >= From && IsInTouch) {
        ++All;
        Begun += HasBegun ? 1 : 0;
      }
    return {All, Begun};
  }

private:
  struct Attempt {
    RequestFingerprints Request_;
    std::size_t Instance_ = 0;
    std::size_t Server_ = 0;
    Duration EndsAt_{};
    std::optional<std::size_t> DeadlyPart_;
    std::size_t Sound_ = 0; ///< Index into SoundRequests_.
    unsigned Number_ = 1;
  };
  struct SoundRequest {
    Duration At_{};
    bool IsInTouch_ = false;
    bool HasBegun_ = false;
  };
  struct Arrival {
    Duration At_{};
    bool IsInTouch_ = false;
  };

  bool isInTouch(std::size_t Instance) const {
    return now() - StartedAt_[Instance] > ContactTime;
  }

  Duration now() const { return Fleet_.Now_ - TimePoint(); }
  std::size_t pick(std::size_t Count) { return Generator_() % Count; }
  bool chance(double PerSecond) {
    auto const Expected =
        PerSecond * std::chrono::duration<double>(Step).count();
    return std::uniform_real_distribution<double>()(Generator_) < Expected;
  }

  void sendSound() {
    Attempt Next;
    Next.Request_ = {++LastContent_,
                     {FirstPart, FirstSessionPart + pick(Sessions)}};
    Next.Sound_ = SoundRequests_.size();
    Next.Instance_ = pick(Play_.Instances_);
    SoundRequests_.push_back({now(), isInTouch(Next.Instance_), false});
    send(Next);
  }
  void sendDeadly(std::size_t Part) {
    Attempt Next;
    Next.Request_ = {++LastContent_,
                     {FirstPart, FirstSessionPart + pick(Sessions)}};
    auto &Parts = Next.Request_.Parts_;
    Parts.insert(Parts.begin() + static_cast<std::ptrdiff_t>(
                                     std::min(Play_.Place_, Parts.size())),
                 FirstDeadlyPart + Part);
    Next.DeadlyPart_ = Part;
    Next.Instance_ = pick(Play_.Instances_);
    send(Next);
  }
  void send(Attempt Next) {
    std::vector<std::size_t> Up;
    for (std::size_t Server = 0; Server < Servers; ++Server)
      if (UpAt_[Server] <= now())
        Up.push_back(Server);
    auto &Guard = Fleet_.Instances_[Next.Instance_]->Guard_;
    if (Up.empty() || Guard.refusal(Next.Request_, Fleet_.Now_))
      return;
    Next.Server_ = Up[pick(Up.size())];
    // Deadly requests crash soon, sound ones take up to 1.5 s.
    Next.EndsAt_ = now() + milliseconds(Next.DeadlyPart_ ? 50 + pick(200)
                                                         : 200 + pick(1300));
    if (Next.DeadlyPart_)
      Arrivals_[*Next.DeadlyPart_].push_back(
          {now(), isInTouch(Next.Instance_)});
    else if (Next.Number_ == 1)
      SoundRequests_[Next.Sound_].HasBegun_ = true;
    Guard.onStarted(Next.Request_, serverId(Next.Server_), Fleet_.Now_);
    Attempts_.push_back(std::move(Next));
  }

  ServerId serverId(std::size_t Server) const {
    return ServerId(std::to_string(Server) + '@' +
                    std::to_string(Incarnations_[Server]));
  }

  void endAttempts() {
    for (std::size_t Index = 0; Index < Attempts_.size();) {
      if (Attempts_[Index].EndsAt_ > now()) {
        ++Index;
        continue;
      }
      auto const Ended = Attempts_[Index];
      if (Ended.DeadlyPart_) {
        Crashes_[*Ended.DeadlyPart_].push_back(now());
        crash(Ended.Server_);
        Index = 0;
        continue;
      }
      Attempts_.erase(Attempts_.begin() + static_cast<std::ptrdiff_t>(Index));
      report(Ended, CompleteAnswer);
    }
  }

  void crash(std::size_t Server) {
    if (UpAt_[Server] > now())
      return;
    UpAt_[Server] = now() + Downtime;
    auto const OnServer = std::stable_partition(
        Attempts_.begin(), Attempts_.end(),
        [&](Attempt const &Each) { return Each.Server_ != Server; });
    std::vector<Attempt> const Lost(OnServer, Attempts_.end());
    Attempts_.erase(OnServer, Attempts_.end());
    for (auto const &Each : Lost)
      report(Each, Broken);
    ++Incarnations_[Server];
    for (auto Each : Lost)
      if (Play_.Resumption_ == Resumption::Once && Each.Number_ == 1) {
        ++Each.Number_;
        send(Each);
      }
  }

  void report(Attempt const &Ended, AttemptEvidence const &Evidence) {
    auto &Instance = *Fleet_.Instances_[Ended.Instance_];
    Fleet_.post(Instance.Dissemination_.onLocalReports(
        Instance.Guard_.onEnded(Ended.Request_, serverId(Ended.Server_),
                                Evidence, Fleet_.Now_),
        Fleet_.Now_));
  }

  void killInstances() {

    if (Play_.Kills_ == Kills::OneByOne && now() % Play_.KillPeriod_ < Step)
      restart(pick(Play_.Instances_));
    if (Play_.Kills_ == Kills::AllAtOnce && now() >= Play_.KillPeriod_ &&
        now() < Play_.KillPeriod_ + Step)
      for (std::size_t Index = 0; Index < Play_.Instances_; ++Index)
        restart(Index);
  }
  void restart(std::size_t Number) {
    std::erase_if(Attempts_, [&](Attempt const &Each) {
      return Each.Instance_ == Number;
    });
    auto const &Address = Fleet_.Instances_[Number]->Self_.Peers_;
    std::erase_if(Fleet_.InFlight_, [&](auto const &Each) {
      return Each.Action_.To_ == Address;
    });
    Fleet_.restart(Number);
    StartedAt_[Number] = now();
    std::vector<CrashReport> Saved;
    for (auto const &[Incident, Record] : Store_) {
      Saved.push_back(Record.first);
      Saved.back().Age_ = now() - Record.second;
    }
    Fleet_.Instances_[Number]->Dissemination_.restore(Saved, Fleet_.Now_);
  }
  void save() {
    for (auto &Instance : Fleet_.Instances_)
      for (auto const &Report :
           Instance->Dissemination_.takeUnsaved(Fleet_.Now_))
        Store_[Report.Incident_] = {Report, now() - Report.Age_};
  }

  Play const Play_;
  std::mt19937_64 Generator_;
  test::CrashReportFleet Fleet_;
  std::array<Duration, Servers> UpAt_{};
  std::array<std::uint64_t, Servers> Incarnations_{};
  std::vector<Attempt> Attempts_;
  std::vector<std::vector<Duration>> Crashes_; ///< By deadly part.
  std::vector<std::vector<Arrival>> Arrivals_; ///< By deadly part.
  std::vector<Duration> StartedAt_;            ///< By instance.
  std::vector<SoundRequest> SoundRequests_;
  std::map<std::uint64_t, std::pair<CrashReport, Duration>> Store_;
  std::uint64_t LastContent_ = 0;
};

/// Returns a play drawn from all rates, places, sizes and disturbances.
Play drawPlay(std::uint64_t Seed, std::vector<double> const &SoundRates) {
  std::mt19937_64 Generator(Seed);
  auto const Draw = [&](auto const &Values) {
    return Values[Generator() % Values.size()];
  };
  Play Drawn;
  Drawn.Instances_ = Draw(std::vector<std::size_t>{1, 8, 24, 77});
  Drawn.DeadlyPerSecond_ = Draw(std::vector{0.2, 0.7, 4.0, 20.0});
  Drawn.SoundPerSecond_ = Draw(SoundRates);
  Drawn.DeadlyParts_ = Draw(std::vector<std::size_t>{1, 1, 2, 3});
  Drawn.Place_ = Generator() % 3;
  Drawn.Resumption_ = Draw(std::vector{Resumption::Never, Resumption::Once});
  Drawn.OtherCrashes_ =
      Draw(std::vector<Duration>{Duration(0), Duration(0), seconds(4)});
  Drawn.Kills_ =
      Draw(std::vector{Kills::None, Kills::OneByOne, Kills::AllAtOnce});
  Drawn.KillPeriod_ =
      Draw(std::vector<Duration>{seconds(2), seconds(4), seconds(8)});
  return Drawn;
}

void check(Play const &Play, std::uint64_t Seed) {
  Simulation Simulation(Play, Seed);
  Simulation.run();
  auto const [Sound, Begun] = Simulation.soundRequests();
  CAPTURE(Seed, Play.Instances_, Play.DeadlyPerSecond_, Play.SoundPerSecond_,
          Play.DeadlyParts_, Play.Place_, Play.Kills_, Sound, Begun);
  for (std::size_t Part = 0; Part < Play.DeadlyParts_; ++Part) {
    CAPTURE(Part, Simulation.crashes(Part));
    CHECK(Simulation.lateRequests(Part) <= MaxLateRequests);
  }
  if (Sound >= MinSoundRequests)
    CHECK(Begun * 2 >= Sound);
}

constexpr std::uint64_t Seeds = 60;

} // namespace

TEST_CASE("Prompt parts that crash servers stay within the bound, and sound "
          "requests are served, at any rate, place and size of the fleet") {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    check(drawPlay(Seed, {40.0, 90.0}), Seed);
}

TEST_CASE("Sound requests are served where those with crashing prompt parts "
          "outnumber them and all instances are killed") {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    check(drawPlay(Seed, {5.0}), Seed);
}
