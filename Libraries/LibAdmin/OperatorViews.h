#pragma once

#include <LibCore/Time.h>
#include <LibModel/BackendServer.h>
#include <LibModel/ClientAccount.h>
#include <LibModel/ConfigurationObject.h>
#include <LibModel/EntryInstance.h>
#include <LibModel/Service.h>

#include <string>
#include <variant>
#include <vector>

namespace laburnum {

/// A configuration object as shown to operators.
struct ObjectView {
  Version Version_ = 0;
  std::variant<Service, ClientAccount, BackendServer> Value_;

  auto operator<=>(ObjectView const &) const = default;
};

/// Selects objects of a kind; an empty name selects all of them.
struct ObjectQuery {
  ObjectKind Kind_ = ObjectKind::Service;
  std::string Name_;

  auto operator<=>(ObjectQuery const &) const = default;
};

enum class InstanceRole { Entry, Server };

struct InstanceView {
  std::string Id_; ///< An InstanceId or a ServerId, depending on Role_.
  InstanceRole Role_ = InstanceRole::Entry;
  DataCentre DataCentre_;
  Liveness Liveness_ = Liveness::Live;
  ServiceName Service_;       ///< Empty for an entry instance.
  std::string Address_;       ///< "host:port".
  std::uint32_t Running_ = 0; ///< Requests in progress, as last reported.

  auto operator<=>(InstanceView const &) const = default;
};

/// The configuration that an entry instance has applied.
struct ConfigurationInForce {
  InstanceId Instance_;
  DataCentre DataCentre_;
  Version Version_ = 0;      ///< The highest version in force there.
  std::uint64_t Digest_ = 0; ///< Equal digests: the same objects and versions.
  Duration Age_{};           ///< Time since the instance reported this.

  auto operator<=>(ConfigurationInForce const &) const = default;
};

struct ReclaimView {
  std::string Instance_;
  DataCentre DataCentre_;
  Duration Remaining_{}; ///< Negative once the reclaim time has passed.
  std::string Source_;   ///< "notice", "list", "peer" or "refusal".
  std::uint32_t StreamsMoved_ = 0;

  auto operator<=>(ReclaimView const &) const = default;
};

enum class Severity { Ok, Warning, Critical };

/// A problem that an operator should know about, and its remedy.
struct Finding {
  Severity Severity_ = Severity::Ok;
  std::string What_;
  std::string Remedy_;

  auto operator<=>(Finding const &) const = default;
};

/// Whether the platform answered the instance's most recent call.
enum class PlatformConnectivity { Reachable, Unreachable };

/// The system's state as one entry instance sees it.
struct StatusView {
  InstanceId Instance_;
  Severity Overall_ = Severity::Ok;
  std::vector<Finding> Findings_;
  std::uint32_t EntryInstances_ = 0;
  std::uint32_t ServersLive_ = 0;
  std::uint32_t ServersLeaving_ = 0;
  std::uint32_t Services_ = 0;
  std::uint32_t Accounts_ = 0;
  Version ConfigurationVersion_ = 0;
  PlatformConnectivity Platform_ = PlatformConnectivity::Unreachable;

  auto operator<=>(StatusView const &) const = default;
};

} // namespace laburnum
