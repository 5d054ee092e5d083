#pragma once

#include <LibBackend/TracedClient.h>
#include <LibModel/BackendServer.h>

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace laburnum {

/// Keeps idle HTTP clients with their connections, some for each endpoint.
class HttpClientPool {
public:
  HttpClientPool(std::size_t MaxIdlePerEndpoint, std::size_t MaxIdle)
      : MaxIdlePerEndpoint_(MaxIdlePerEndpoint), MaxIdle_(MaxIdle) {}

  /// An idle client of the endpoint, or a new one.
  std::unique_ptr<TracedClient> take(Endpoint const &Target);

  /// Keeps the client for later, or drops it when enough are idle.
  void giveBack(Endpoint const &Target, std::unique_ptr<TracedClient> Client);

private:
  std::size_t const MaxIdlePerEndpoint_;
  std::size_t const MaxIdle_;
  std::mutex Mutex_;
  std::size_t IdleCount_ = 0;
  std::map<Endpoint, std::vector<std::unique_ptr<TracedClient>>> Idle_;
};

} // namespace laburnum
