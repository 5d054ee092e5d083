#include "EntryFixture.h"

#include <variant>

namespace laburnum::entry_process {

namespace {

using nlohmann::json;

constexpr std::int64_t Born = 1700000000000;

json route(std::string const &Path, std::string const &Kind) {
  return {{"name", Path},        {"host", "desk.example"},
          {"path_prefix", Path}, {"route_kind", Kind},
          {"timeout_ms", 2000},  {"target_latency_ms", 400},
          {"service", "desk"},   {"max_attempts", 2}};
}

} // namespace

json configurationOf(std::uint64_t Version) {
  auto Routes = json::array(
      {route("/read/", "idempotent"), route("/order/", "non_idempotent")});
  if (Version > 1)
    Routes.push_back(route("/new/", "idempotent"));
  return {{"version", Version},
          {"routes", Routes},
          {"services", json::array({{{"name", "desk"}}})},
          {"tenants", json::array({{{"name", "a"}, {"api_keys", {"k1"}}}})}};
}

json serverEntry(Endpoint const &Address, std::string const &State,
                 std::int64_t Born, std::uint64_t Sequence) {
  return {{"service", "desk"},
          {"address", Address.Host_ + ':' + std::to_string(Address.Port_)},
          {"zone", "a-1"},
          {"slots", 8},
          {"state", State},
          {"born", Born},
          {"sequence", Sequence}};
}

EntryFixture::EntryFixture() {
  Endpoint const AnyPort{"127.0.0.1", 0};
  on([&] {
    StoreListener_ =
        std::get<0>(HttpListener::create(Thread_.context(), AnyPort, Store_));
    RunnerListener_ =
        std::get<0>(HttpListener::create(Thread_.context(), AnyPort, Runner_));
  });
  writeConfiguration(1);
  writeServer("i-1", "ready");
  Instance_ =
      std::make_unique<EntryProcess>(0, StoreListener_->localEndpoint().Port_);
  Instance_->start();
}

EntryFixture::~EntryFixture() {
  Instance_.reset();
  on([this] {
    StoreListener_->stopAccepting();
    RunnerListener_->stopAccepting();
  });
  Thread_.stop();
}

void EntryFixture::writeConfiguration(std::uint64_t Version) {
  on([&] { Store_.put("config", "main", configurationOf(Version)); });
}

void EntryFixture::writeServer(std::string const &Name,
                               std::string const &State,
                               std::uint64_t Sequence) {
  on([&] {
    Store_.put(
        "servers", Name,
        serverEntry(RunnerListener_->localEndpoint(), State, Born, Sequence));
  });
}

std::size_t EntryFixture::requestsAtRunner() {
  return on([this] { return Runner_.Requests_.size(); });
}

} // namespace laburnum::entry_process
