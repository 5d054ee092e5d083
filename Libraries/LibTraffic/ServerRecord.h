#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibModel/Endpoint.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace laburnum {

enum class ServerPhase { Ready, Draining };

/// A backend server as listed by the platform. Records with the same identifier
/// and different start times are different incarnations of the server.
struct ServerRecord {
  ServerId Id_;
  std::int64_t IncarnationStartMilliseconds_ =
      0; ///< Unix time of its start; 0: unknown.
  ServiceName Service_;
  /// Names the server's software, without an order. Streams of two versions
  /// don't fit together.
  std::string SoftwareVersion_;
  DataCentre DataCentre_;
  Endpoint Endpoint_;
  std::uint32_t Slots_ = 1; ///< Maximum concurrent requests.
  ServerPhase Phase_ = ServerPhase::Ready;
  bool IsReclaimable_ = false;

  auto operator<=>(ServerRecord const &) const = default;
};

/// Returns an identifier of the server's incarnation.
inline ServerId incarnationOf(ServerRecord const &Server) {
  return ServerId(Server.Id_.text() + '@' +
                  std::to_string(Server.IncarnationStartMilliseconds_));
}

/// Returns how the server's process identifies itself when it is asked, or
/// nothing if the list does not tell.
inline std::optional<std::string> processName(ServerRecord const &Server) {
  if (Server.IncarnationStartMilliseconds_ == 0)
    return std::nullopt;
  return std::to_string(Server.IncarnationStartMilliseconds_);
}

/// The load that a server reports with an answer.
struct ServerLoad {
  std::uint32_t Running_ = 0;
  std::uint32_t Waiting_ = 0;
  std::uint32_t Slots_ = 0;
  /// How much longer its work takes at this moment than usual, as a factor.
  double Slowdown_ = 1.0;

  auto operator<=>(ServerLoad const &) const = default;
};

} // namespace laburnum
