#include <LibBackend/HttpClientPool.h>

namespace laburnum {

static std::unique_ptr<TracedClient> makeClient(Endpoint const &Target) {
  auto Client = std::make_unique<TracedClient>(Target.Host_, Target.Port_);
  Client->set_keep_alive(true);
  Client->set_tcp_nodelay(true);
  // The path is sent to the service exactly as received from the caller.
  Client->set_url_encode(false);
  return Client;
}

std::unique_ptr<TracedClient> HttpClientPool::take(Endpoint const &Target) {
  {
    std::lock_guard const Lock(Mutex_);
    auto const Found = Idle_.find(Target);
    if (Found != Idle_.end()) {
      auto Client = std::move(Found->second.back());
      Found->second.pop_back();
      --IdleCount_;
      if (Found->second.empty())
        Idle_.erase(Found);
      return Client;
    }
  }
  return makeClient(Target);
}

void HttpClientPool::returnClient(Endpoint const &Target,
                                  std::unique_ptr<TracedClient> Client) {
  std::lock_guard const Lock(Mutex_);
  if (IdleCount_ >= MaxIdle_)
    return;
  auto &Clients = Idle_[Target];
  if (Clients.size() >= MaxIdlePerEndpoint_)
    return;
  Clients.push_back(std::move(Client));
  ++IdleCount_;
}

} // namespace laburnum
