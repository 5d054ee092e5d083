#pragma once

#include <LibPlatform/HttpCloudApi.h>
#include <LibPlatform/HttpInstanceList.h>
#include <LibPlatform/HttpObjectStore.h>
#include <PlatformStandin/PlatformStandin.h>

namespace laburnum {

/// A stand-in of the platform on a free port, and clients for its APIs.
struct StandinFixture {
  explicit StandinFixture(StandinOptions const &Options = {})
      : Standin_(PlatformStandin::start(Options)),
        Connection_({"127.0.0.1", Standin_->port()}), Store_(Connection_),
        Instances_(Connection_), Cloud_(Connection_) {}

  std::unique_ptr<PlatformStandin> Standin_;
  PlatformConnection Connection_;
  HttpObjectStore Store_;
  HttpInstanceList Instances_;
  HttpCloudApi Cloud_;
};

/// A timeout that no answered call reaches.
constexpr Duration GenerousTimeout = std::chrono::seconds(60);

template <typename Value>
bool failsWith(Result<Value> const &Outcome, ErrorKind Kind) {
  return isError(Outcome) && errorOf(Outcome).Kind_ == Kind;
}

} // namespace laburnum
