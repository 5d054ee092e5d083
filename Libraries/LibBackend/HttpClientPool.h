#pragma once

#include <LibBackend/TracedClient.h>
#include <LibModel/BackendServer.h>

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace laburnum {

/// A pool of idle HTTP clients with their connections, grouped by endpoint.
/// Thread-safe.
class HttpClientPool {
public:
  HttpClientPool(std::size_t MaxIdlePerEndpoint, std::size_t MaxIdle)
      : MaxIdlePerEndpoint_(MaxIdlePerEndpoint), MaxIdle_(MaxIdle) {}

  /// Takes an idle client of the endpoint, or creates one.
  std::unique_ptr<TracedClient> take(Endpoint const &Target);

  /// Returns the client to the pool, or destroys it if the pool is full.
  void returnClient(Endpoint const &Target,
                    std::unique_ptr<TracedClient> Client);

private:
  std::size_t const MaxIdlePerEndpoint_;
  std::size_t const MaxIdle_;
  std::mutex Mutex_;
  std::size_t IdleCount_ = 0;
  std::map<Endpoint, std::vector<std::unique_ptr<TracedClient>>> Idle_;
};

} // namespace laburnum
