#include "Commands.h"

#include <array>

namespace laburnum::faults {

namespace {

constexpr int Keys = 6;
constexpr std::uint32_t MostTokens = 120;
constexpr int LongestPause = 2000; ///< Milliseconds.
constexpr std::array<char const *, 6> Servers = {"p1", "p2", "p3",
                                                 "e1", "e2", "e3"};
/// Without those that have no object yet, or whose failure is known.
constexpr std::array Faults = {Fault::ProcessKilled,
                               Fault::ProcessPaused,
                               Fault::DataCentresCut,
                               Fault::PlatformCut,
                               Fault::PlatformSlow,
                               Fault::PlatformDown,
                               Fault::AnswerLost,
                               Fault::StaleRead,
                               Fault::WatchGap,
                               Fault::ReclaimWithNotice,
                               Fault::ReclaimWithoutNotice,
                               Fault::Wave,
                               Fault::ReplacementRefused,
                               Fault::OperatorsRacing,
                               Fault::LateAndDuplicate};

std::size_t anyInstance() {
  return *rc::gen::inRange<std::size_t>(0, World::Instances);
}

std::string anyKey() {
  return "order-" + std::to_string(*rc::gen::inRange(0, Keys));
}

ServerId anyServer() {
  return ServerId(Servers.at(*rc::gen::inRange<std::size_t>(0, 6)));
}

/// A call that must not be repeated; a key drawn twice is sent twice.
class SendCall : public CountedCommand {
public:
  explicit SendCall(Drawn const &) {}
  void act(Drawn const &, World &In) const override {
    In.call(Key_, Idempotence::NonIdempotent, Instance_);
  }
  void show(std::ostream &Out) const override {
    Out << "call " << Key_ << " at " << Instance_;
  }

private:
  std::string const Key_ = anyKey();
  std::size_t const Instance_ = anyInstance();
};

class SendStream : public CountedCommand {
public:
  explicit SendStream(Drawn const &) {}
  void apply(Drawn &Before) const override { ++Before.Streams_; }
  void act(Drawn const &Before, World &In) const override {
    In.stream("essay-" + std::to_string(Before.Streams_), Tokens_, Instance_);
  }
  void show(std::ostream &Out) const override {
    Out << "stream of " << Tokens_ << " tokens at " << Instance_;
  }

private:
  std::uint32_t const Tokens_ = *rc::gen::inRange<std::uint32_t>(1, MostTokens);
  std::size_t const Instance_ = anyInstance();
};

class SendAgain : public CountedCommand {
public:
  explicit SendAgain(Drawn const &) {}
  void act(Drawn const &, World &In) const override {
    if (auto const Count = In.callers().count(); Count > 0)
      In.sendAgain(Caller_ % Count, Instance_);
  }
  void show(std::ostream &Out) const override {
    Out << "caller " << Caller_ << " sends again at " << Instance_;
  }

private:
  std::size_t const Caller_ = *rc::gen::inRange<std::size_t>(0, 20);
  std::size_t const Instance_ = anyInstance();
};

/// Mostly a short time, so that much falls into one flow.
class PassTime : public CountedCommand {
public:
  explicit PassTime(Drawn const &) {}
  void act(Drawn const &, World &In) const override {
    In.run(std::chrono::microseconds(Microseconds_));
  }
  void show(std::ostream &Out) const override {
    Out << "pass " << Microseconds_ << " us";
  }

private:
  int const Microseconds_ = *rc::gen::weightedOneOf<int>(
      {{4, rc::gen::inRange(100, 10'000)},
       {2, rc::gen::inRange(10'000, 200'000)},
       {1, rc::gen::inRange(200'000, LongestPause * 1000)}});
};

class InjectFault : public CountedCommand {
public:
  explicit InjectFault(Drawn const &) {}
  void act(Drawn const &, World &In) const override {
    In.inject(Fault_, {Instance_, Server_, {}});
  }
  void show(std::ostream &Out) const override {
    Out << nameOf(Fault_) << " at " << Instance_ << ", " << Server_.text();
  }

private:
  Fault const Fault_ =
      Faults.at(*rc::gen::inRange<std::size_t>(0, Faults.size()));
  std::size_t const Instance_ = anyInstance();
  ServerId const Server_ = anyServer();
};

class ChangeConfiguration : public CountedCommand {
public:
  explicit ChangeConfiguration(Drawn const &) {}
  void apply(Drawn &Before) const override { ++Before.Changes_; }
  void act(Drawn const &Before, World &In) const override {
    In.change("change-" + std::to_string(Before.Changes_), Instance_);
  }
  void show(std::ostream &Out) const override {
    Out << "change at " << Instance_;
  }

private:
  std::size_t const Instance_ = anyInstance();
};

class StopInstance : public CountedCommand {
public:
  explicit StopInstance(Drawn const &) {}
  void act(Drawn const &, World &In) const override {
    In.stopInstance(Instance_);
  }
  void show(std::ostream &Out) const override { Out << "stop " << Instance_; }

private:
  std::size_t const Instance_ = anyInstance();
};

/// A server that is not replaced says in one way or another that it leaves.
class LeaveForGood : public CountedCommand {
public:
  explicit LeaveForGood(Drawn const &) {}
  void act(Drawn const &, World &In) const override {
    In.leave(ServerId("p1"), Sign_, std::chrono::seconds(60));
  }
  void show(std::ostream &Out) const override {
    Out << "p1 leaves, sign " << static_cast<int>(Sign_);
  }

private:
  LeavingSign const Sign_ = static_cast<LeavingSign>(*rc::gen::inRange(0, 4));
};

class BreakConnection : public CountedCommand {
public:
  explicit BreakConnection(Drawn const &) {}
  void act(Drawn const &, World &In) const override {
    In.backends().breakOnce(Key_, At_);
  }
  void show(std::ostream &Out) const override {
    Out << "break " << Key_ << " after progress " << static_cast<int>(At_);
  }

private:
  std::string const Key_ = anyKey();
  AttemptProgress const At_ =
      static_cast<AttemptProgress>(*rc::gen::inRange(0, 4));
};

class RefuseOnce : public CountedCommand {
public:
  explicit RefuseOnce(Drawn const &Before) { RC_PRE(Before.HasRefusals_); }
  void act(Drawn const &, World &In) const override {
    In.backends().refuseOnce(Key_);
  }
  void show(std::ostream &Out) const override { Out << "refuse " << Key_; }

private:
  std::string const Key_ = anyKey();
};

class SpoilEngines : public CountedCommand {
public:
  explicit SpoilEngines(Drawn const &) {}
  void act(Drawn const &, World &In) const override {
    In.backends().setHabits(Habits_);
  }
  void show(std::ostream &Out) const override {
    Out << "engines: go on " << Habits_.GoesOnAfterCancel_ << ", twice "
        << Habits_.SendsTwice_ << ", skips " << Habits_.Skips_ << ", from zero "
        << Habits_.StartsFromZero_;
  }

private:
  EngineHabits const Habits_{
      *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>(),
      *rc::gen::inRange<std::uint32_t>(0, 3), *rc::gen::arbitrary<bool>()};
};

} // namespace

rc::Gen<std::shared_ptr<Command const>> anyCommand(Drawn const &Before) {
  // A kind that is named twice is drawn twice as often.
  auto const Kinds = rc::state::gen::execOneOfWithArgs<
      SendCall, SendCall, SendStream, SendAgain, PassTime, PassTime, PassTime,
      InjectFault, InjectFault, ChangeConfiguration, StopInstance, LeaveForGood,
      BreakConnection, RefuseOnce, SpoilEngines>();
  return Kinds(Before);
}

} // namespace laburnum::faults
