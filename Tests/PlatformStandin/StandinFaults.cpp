#include <PlatformStandin/StandinFaults.h>

namespace laburnum {

std::optional<StandinFault> standinFaultNamed(std::string const &Name) {
  static std::map<std::string, StandinFault> const Named = {
      {"outage", StandinFault::Outage},
      {"slow", StandinFault::Slow},
      {"lose_write_answers", StandinFault::LoseWriteAnswers},
      {"lose_writes", StandinFault::LoseWrites},
      {"watch_gap", StandinFault::WatchGap},
      {"refuse_starts", StandinFault::RefuseStarts},
  };
  auto const Found = Named.find(Name);
  if (Found == Named.end())
    return std::nullopt;
  return Found->second;
}

void StandinFaults::switchOn(StandinFault Fault, std::uint32_t Count,
                             Duration Delay) {
  std::lock_guard const Lock(Mutex_);
  ActiveFaults_[Fault] = {Count, Delay};
}

void StandinFaults::switchOff(StandinFault Fault) {
  std::lock_guard const Lock(Mutex_);
  ActiveFaults_.erase(Fault);
}

bool StandinFaults::appliesToCall(StandinFault Fault) {
  std::lock_guard const Lock(Mutex_);
  return consume(Fault).has_value();
}

std::optional<StandinFaults::Setting>
StandinFaults::consume(StandinFault Fault) {
  auto const Found = ActiveFaults_.find(Fault);
  if (Found == ActiveFaults_.end())
    return std::nullopt;
  auto const Applied = Found->second;
  if (Applied.RemainingCalls_ > 0 && --Found->second.RemainingCalls_ == 0)
    ActiveFaults_.erase(Found);
  return Applied;
}

void StandinFaults::delayCall() {
  std::unique_lock Lock(Mutex_);
  auto const Applied = consume(StandinFault::Slow);
  if (Applied)
    Stopped_.wait_for(Lock, Applied->Delay_, [&] { return IsStopped_; });
}

void StandinFaults::stop() {
  std::lock_guard const Lock(Mutex_);
  IsStopped_ = true;
  Stopped_.notify_all();
}

} // namespace laburnum
