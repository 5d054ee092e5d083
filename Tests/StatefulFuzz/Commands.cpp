#include "Commands.h"

#include <array>

namespace laburnum::faults {

namespace {

constexpr int Keys = 6;
constexpr std::uint32_t MaxTokens = 120;
constexpr int MaxPause = 2000; ///< Milliseconds.
constexpr std::array<char const *, 6> Servers = {"p1", "p2", "p3",
                                                 "e1", "e2", "e3"};
/// Excludes faults that nothing is subject to yet and faults whose failure is
/// known.
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

/// A non-idempotent call; a key that is drawn twice is submitted twice.
class SendCall : public CountedCommand {
public:
  explicit SendCall(ModelState const &) {}
  void act(ModelState const &, World &Simulation) const override {
    Simulation.call(Key_, Idempotence::NonIdempotent, Instance_);
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
  explicit SendStream(ModelState const &) {}
  void apply(ModelState &State) const override { ++State.Streams_; }
  void act(ModelState const &State, World &Simulation) const override {
    Simulation.stream("essay-" + std::to_string(State.Streams_), Tokens_,
                      Instance_);
  }
  void show(std::ostream &Out) const override {
    Out << "stream of " << Tokens_ << " tokens at " << Instance_;
  }

private:
  std::uint32_t const Tokens_ = *rc::gen::inRange<std::uint32_t>(1, MaxTokens);
  std::size_t const Instance_ = anyInstance();
};

class Resubmit : public CountedCommand {
public:
  explicit Resubmit(ModelState const &) {}
  void act(ModelState const &, World &Simulation) const override {
    if (auto const Count = Simulation.callers().count(); Count > 0)
      Simulation.resubmit(Caller_ % Count, Instance_);
  }
  void show(std::ostream &Out) const override {
    Out << "caller " << Caller_ << " sends again at " << Instance_;
  }

private:
  std::size_t const Caller_ = *rc::gen::inRange<std::size_t>(0, 20);
  std::size_t const Instance_ = anyInstance();
};

/// Mostly short times, so that many commands occur during one flow.
class PassTime : public CountedCommand {
public:
  explicit PassTime(ModelState const &) {}
  void act(ModelState const &, World &Simulation) const override {
    Simulation.run(std::chrono::microseconds(Microseconds_));
  }
  void show(std::ostream &Out) const override {
    Out << "pass " << Microseconds_ << " us";
  }

private:
  int const Microseconds_ = *rc::gen::weightedOneOf<int>(
      {{4, rc::gen::inRange(100, 10'000)},
       {2, rc::gen::inRange(10'000, 200'000)},
       {1, rc::gen::inRange(200'000, MaxPause * 1000)}});
};

class InjectFault : public CountedCommand {
public:
  explicit InjectFault(ModelState const &) {}
  void act(ModelState const &, World &Simulation) const override {
    Simulation.inject(Fault_, {Instance_, Server_, {}});
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
  explicit ChangeConfiguration(ModelState const &) {}
  void apply(ModelState &State) const override { ++State.Changes_; }
  void act(ModelState const &State, World &Simulation) const override {
    Simulation.change("change-" + std::to_string(State.Changes_), Instance_);
  }
  void show(std::ostream &Out) const override {
    Out << "change at " << Instance_;
  }

private:
  std::size_t const Instance_ = anyInstance();
};

class StopInstance : public CountedCommand {
public:
  explicit StopInstance(ModelState const &) {}
  void act(ModelState const &, World &Simulation) const override {
    Simulation.stopInstance(Instance_);
  }
  void show(std::ostream &Out) const override { Out << "stop " << Instance_; }

private:
  std::size_t const Instance_ = anyInstance();
};

/// A server leaves permanently, announced in one of the possible ways.
class LeavePermanently : public CountedCommand {
public:
  explicit LeavePermanently(ModelState const &) {}
  void act(ModelState const &, World &Simulation) const override {
    Simulation.announceDeparture(ServerId("p1"), Source_,
                                 std::chrono::seconds(60));
  }
  void show(std::ostream &Out) const override {
    Out << "p1 leaves, sign " << static_cast<int>(Source_);
  }

private:
  DepartureSource const Source_ =
      static_cast<DepartureSource>(*rc::gen::inRange(0, 4));
};

class BreakConnection : public CountedCommand {
public:
  explicit BreakConnection(ModelState const &) {}
  void act(ModelState const &, World &Simulation) const override {
    Simulation.backends().breakOnce(Key_, At_);
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
  explicit RefuseOnce(ModelState const &State) { RC_PRE(State.HasRefusals_); }
  void act(ModelState const &, World &Simulation) const override {
    Simulation.backends().refuseOnce(Key_);
  }
  void show(std::ostream &Out) const override { Out << "refuse " << Key_; }

private:
  std::string const Key_ = anyKey();
};

class InjectEngineFaults : public CountedCommand {
public:
  explicit InjectEngineFaults(ModelState const &) {}
  void act(ModelState const &, World &Simulation) const override {
    Simulation.backends().setEngineFaults(EngineFaults_);
  }
  void show(std::ostream &Out) const override {
    Out << "engines: go on " << EngineFaults_.ContinuesAfterCancel_
        << ", twice " << EngineFaults_.DuplicatesPieces_ << ", skips "
        << EngineFaults_.TokensToSkip_ << ", from zero "
        << EngineFaults_.IgnoresResumeOffset_;
  }

private:
  EngineFaults const EngineFaults_{
      *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>(),
      *rc::gen::inRange<std::uint32_t>(0, 3), *rc::gen::arbitrary<bool>()};
};

} // namespace

rc::Gen<std::shared_ptr<Command const>> anyCommand(ModelState const &State) {
  // A command that is listed twice is drawn twice as often.
  auto const Kinds = rc::state::gen::execOneOfWithArgs<
      SendCall, SendCall, SendStream, Resubmit, PassTime, PassTime, PassTime,
      InjectFault, InjectFault, ChangeConfiguration, StopInstance,
      LeavePermanently, BreakConnection, RefuseOnce, InjectEngineFaults>();
  return Kinds(State);
}

} // namespace laburnum::faults
