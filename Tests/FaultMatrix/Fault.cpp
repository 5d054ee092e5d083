#include <FaultMatrix/Fault.h>

#include <array>

namespace laburnum::faults {

namespace {

constexpr std::array<std::string_view, 17> FaultNames = {
    "process-killed",
    "process-paused",
    "data-centres-cut",
    "platform-cut",
    "platform-slow",
    "platform-down",
    "answer-lost",
    "stale-read",
    "watch-gap",
    "lease-lapsed",
    "reclaim-with-notice",
    "reclaim-without-notice",
    "wave",
    "replacement-refused",
    "operators-racing",
    "crashing-request",
    "late-and-duplicate"};

constexpr std::array<std::string_view, 18> MutantNames = {
    "dispatch-before-verdict",
    "lost-answer-is-refusal",
    "blind-writes",
    "stale-reads-look-new",
    "understated-evidence",
    "refuse-after-work",
    "dispatch-while-stopping",
    "say-not-run",
    "ignore-attempts",
    "ignore-offsets",
    "no-recovery",
    "ignore-departures",
    "list-overrides-notice",
    "stop-at-once",
    "apply-any-version",
    "drop-configuration-news",
    "accept-unwritten",
    "forget-change-id"};

} // namespace

std::string_view nameOf(Fault Value) {
  return FaultNames.at(static_cast<std::size_t>(Value));
}

std::string_view nameOf(Mutant Value) {
  return MutantNames.at(static_cast<std::size_t>(Value));
}

std::optional<Mutant> mutantNamed(std::string_view Name) {
  for (std::size_t Each = 0; Each < MutantNames.size(); ++Each)
    if (MutantNames.at(Each) == Name)
      return static_cast<Mutant>(Each);
  return std::nullopt;
}

} // namespace laburnum::faults
