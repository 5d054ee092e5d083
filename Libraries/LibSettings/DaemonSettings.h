#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibModel/BackendServer.h>
#include <LibSettings/SettingsProblem.h>

#include <string>
#include <variant>
#include <vector>

namespace laburnum {

/// The minimum severity of messages that are logged.
enum class LogLevel { Info, Warning, Error };

struct InstanceSettings {
  InstanceId Id_; ///< If empty, the daemon generates one when it starts.
  DataCentre DataCentre_;
  LogLevel LogLevel_ = LogLevel::Info;

  auto operator<=>(InstanceSettings const &) const = default;
};

struct CallersSettings {
  Endpoint Endpoint_;
  std::uint32_t Threads_ = 0; ///< Each serves one open connection.
  std::uint64_t MaxBodyBytes_ = 0;
  std::uint64_t BodyMemoryBytes_ = 0;
  std::uint64_t AnswerMemoryBytes_ = 0;
  std::uint64_t MaxHeaderBytes_ = 0;
  Duration HeaderTimeout_{};
  Duration MaxDeadline_{};
  Duration DefaultDeadline_{};

  auto operator<=>(CallersSettings const &) const = default;
};

/// An operator and the key that authenticates it.
struct OperatorKey {
  std::string Name_;
  std::string Key_;

  auto operator<=>(OperatorKey const &) const = default;
};

struct OperatorsSettings {
  Endpoint Endpoint_;
  std::vector<OperatorKey> Keys_;

  auto operator<=>(OperatorsSettings const &) const = default;
};

struct PeersSettings {
  Endpoint Endpoint_;
  std::string Secret_;
  std::vector<Endpoint> Seeds_;

  auto operator<=>(PeersSettings const &) const = default;
};

struct PlatformSettings {
  Endpoint Endpoint_;
  std::uint32_t ReadsPerSecond_ = 0;
  std::uint32_t WritesPerSecond_ = 0;
  Duration Timeout_{};
  std::uint32_t Threads_ = 0;

  auto operator<=>(PlatformSettings const &) const = default;
};

struct BackendsSettings {
  Duration ConnectTimeout_{};
  Duration StallTimeout_{}; ///< Inactivity after which a call counts as lost.
  std::uint32_t ConnectionsPerServer_ = 0;

  auto operator<=>(BackendsSettings const &) const = default;
};

struct ServingSettings {
  Duration Drain_{};
  std::uint32_t ClaimBuckets_ = 0;
  std::uint32_t ClaimAnswerBytes_ = 0;

  auto operator<=>(ServingSettings const &) const = default;
};

struct DaemonSettings;

/// The settings, or all problems found in the settings file.
using SettingsParseResult =
    std::variant<DaemonSettings, std::vector<SettingsProblem>>;

/// The settings that the daemon reads from its INI file when it starts.
/// docs/SETTINGS.md lists every key.
struct DaemonSettings {
  InstanceSettings Instance_;
  CallersSettings Callers_;
  OperatorsSettings Operators_;
  PeersSettings Peers_;
  PlatformSettings Platform_;
  BackendsSettings Backends_;
  ServingSettings Serving_;

  auto operator<=>(DaemonSettings const &) const = default;

  /// Reads the file. The error's message has one line for each problem.
  static Result<DaemonSettings> load(std::string const &Path);

  /// Parses the text of a file. FileName is used only to report problems.
  static SettingsParseResult parse(std::string const &Text,
                                   std::string const &FileName);
};

} // namespace laburnum
