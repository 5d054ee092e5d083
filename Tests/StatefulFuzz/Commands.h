#pragma once

#include <FaultMatrix/World.h>

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <cstdint>
#include <ostream>

namespace laburnum::faults {

/// What is needed to name new things; the oracle of a run is the World's.
struct Drawn {
  /// Whether servers that go on working refuse a call now and then.
  bool HasRefusals_ = false;
  std::uint32_t Streams_ = 0;
  std::uint32_t Changes_ = 0;
};

/// The world under test and how many commands it was given.
struct Tested {
  World &World_;
  std::uint64_t &Steps_;
};

using Command = rc::state::Command<Drawn, Tested>;

/// Counts each command and leaves its work to act().
class CountedCommand : public Command {
public:
  void run(Drawn const &Before, Tested &On) const override {
    ++On.Steps_;
    act(Before, On.World_);
  }

protected:
  virtual void act(Drawn const &Before, World &In) const = 0;
};

/// A generator of one random command.
rc::Gen<std::shared_ptr<Command const>> anyCommand(Drawn const &Before);

} // namespace laburnum::faults
