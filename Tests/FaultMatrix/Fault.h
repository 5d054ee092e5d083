#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace laburnum::faults {

/// What can go wrong around the entry instance, the server or the object that
/// a test is about.
enum class Fault {
  ProcessKilled,
  ProcessPaused,
  DataCentresCut,
  PlatformCut,
  PlatformSlow,
  PlatformDown,
  AnswerLost,
  StaleRead,
  WatchGap,
  LeaseLapsed,
  ReclaimWithNotice,
  ReclaimWithoutNotice,
  Wave,
  ReplacementRefused,
  OperatorsRacing,
  CrashingRequest,
  LateAndDuplicate,
};

std::string_view nameOf(Fault One);

/// Mechanisms that the harness can take out, to see a test fail without them.
enum class Mutant {
  DispatchBeforeVerdict, ///< A call starts before its claim is settled.
  LostAnswerIsRefusal,   ///< A write with a lost answer counts as not made.
  BlindWrites,           ///< Writes ignore the version that they expect.
  StaleReadsLookNew,     ///< Old content is read under the newest version.
  UnderstatedEvidence,   ///< A broken attempt is said not to have connected.
  RefuseAfterWork,       ///< Servers run what they say they refused.
  DispatchWhileStopping, ///< A stopping instance refuses and dispatches.
  SayNotRun,             ///< Every failure is told as not run.
  IgnoreAttempts,        ///< Events of older attempts count as present ones.
  IgnoreOffsets,         ///< Pieces go to the caller as they come.
  NoRecovery,            ///< A stream whose attempt broke is given up.
  IgnoreDepartures,      ///< Leaving servers are chosen like others.
  ListOverridesNotice,   ///< The lagging list brings a server back.
  StopAtOnce,            ///< A planned stop does not wait.
  ApplyAnyVersion,       ///< Configuration is taken at any version.
  DropConfigurationNews, ///< Peers pass no configuration on.
  AcceptUnwritten,       ///< A change is accepted whatever became of it.
  ForgetChangeId,        ///< A change sent again gets a new identifier.
};

std::string_view nameOf(Mutant One);
std::optional<Mutant> mutantNamed(std::string_view Name);

using Mutants = std::set<Mutant>;

} // namespace laburnum::faults
