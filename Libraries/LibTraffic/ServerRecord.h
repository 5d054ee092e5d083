#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibModel/Endpoint.h>

#include <compare>
#include <cstdint>
#include <string>

namespace laburnum {

enum class ServerPhase { Ready, Draining };

/// A backend server as the platform's list has it. Two records with the same
/// identifier and another birth are two servers.
struct ServerRecord {
  ServerId Id_;
  std::int64_t BornAtMilliseconds_ = 0; ///< Unix time of its start; 0: unknown.
  ServiceName Service_;
  DataCentre DataCentre_;
  Endpoint Endpoint_;
  std::uint32_t Slots_ = 1; ///< Requests it runs at once.
  ServerPhase Phase_ = ServerPhase::Ready;
  bool IsReclaimable_ = false;

  auto operator<=>(ServerRecord const &) const = default;
};

/// Names one life of a server.
inline ServerId lifeOf(ServerRecord const &Server) {
  return ServerId(Server.Id_.text() + '@' +
                  std::to_string(Server.BornAtMilliseconds_));
}

/// What a server says of its own work, with an answer.
struct ServerLoad {
  std::uint32_t Running_ = 0;
  std::uint32_t Waiting_ = 0;
  std::uint32_t Slots_ = 0;

  auto operator<=>(ServerLoad const &) const = default;
};

} // namespace laburnum
