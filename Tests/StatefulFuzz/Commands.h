#pragma once

#include <FaultMatrix/World.h>

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <cstdint>
#include <ostream>

namespace laburnum::faults {

/// The model of the stateful test, used to name new streams and changes. The
/// checks are made by the Oracle of the World.
struct ModelState {
  /// Whether servers that keep running occasionally refuse a call.
  bool HasRefusals_ = false;
  std::uint32_t Streams_ = 0;
  std::uint32_t Changes_ = 0;
};

/// The simulation under test and the number of commands run on it.
struct SystemUnderTest {
  World &World_;
  std::uint64_t &Steps_;
};

using Command = rc::state::Command<ModelState, SystemUnderTest>;

/// Counts each command and executes it in act().
class CountedCommand : public Command {
public:
  void run(ModelState const &State, SystemUnderTest &Target) const override {
    ++Target.Steps_;
    act(State, Target.World_);
  }

protected:
  virtual void act(ModelState const &State, World &Simulation) const = 0;
};

/// A generator of one random command.
rc::Gen<std::shared_ptr<Command const>> anyCommand(ModelState const &State);

} // namespace laburnum::faults
