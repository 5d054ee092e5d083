#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace laburnum::faults {

/// Faults that affect the entry instance, the server or the object under test.
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

std::string_view nameOf(Fault Value);

/// Mutations that disable a mechanism, to check that a test fails without it.
enum class Mutant {
  DispatchBeforeVerdict, ///< A call starts before its claim is resolved.
  LostAnswerIsRefusal,   ///< A write with a lost answer counts as refused.
  BlindWrites,           ///< Writes ignore their expected version.
  StaleReadsLookNew,     ///< Stale content is read with the newest version.
  UnderstatedEvidence,   ///< A broken attempt is reported as not connected.
  RefuseAfterWork,       ///< Servers run requests that they refuse.
  DispatchWhileStopping, ///< A stopping instance refuses and dispatches.
  SayNotRun,             ///< Every failure is reported as not run.
  IgnoreAttempts,        ///< Events of older attempts count as current ones.
  IgnoreOffsets,         ///< Pieces are forwarded as received.
  NoRecovery,            ///< A stream whose attempt broke is abandoned.
  IgnoreDepartures,      ///< Leaving servers are still chosen.
  ListOverridesNotice,   ///< The delayed list makes a server usable again.
  StopAtOnce,            ///< A planned stop does not wait.
  ApplyAnyVersion,       ///< Configuration of any version is applied.
  DropConfigurationNews, ///< Peers do not forward configuration.
  AcceptUnwritten,       ///< A change is accepted whatever its outcome.
  ForgetChangeId,        ///< A resubmitted change gets a new identifier.
};

std::string_view nameOf(Mutant Value);
std::optional<Mutant> mutantNamed(std::string_view Name);

using Mutants = std::set<Mutant>;

} // namespace laburnum::faults
