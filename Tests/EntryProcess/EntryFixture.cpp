#include "EntryFixture.h"

#include "StandinRecords.h"

#include <variant>

namespace laburnum::entry_process {

namespace {

constexpr std::int64_t Born = 1700000000000;

} // namespace

EntryFixture::EntryFixture() {
  Endpoint const AnyPort{"127.0.0.1", 0};
  on([&] {
    StoreListener_ =
        std::get<0>(HttpListener::create(Thread_.context(), AnyPort, Store_));
    ServerListener_ =
        std::get<0>(HttpListener::create(Thread_.context(), AnyPort, Server_));
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
    ServerListener_->stopAccepting();
  });
  Thread_.stop();
}

void EntryFixture::writeConfiguration(std::uint64_t Version) {
  on([&] { Store_.put("config", "main", configurationJson(Version)); });
}

void EntryFixture::writeServer(std::string const &Name,
                               std::string const &State,
                               std::uint64_t Sequence) {
  on([&] {
    Store_.put(
        "servers", Name,
        serverJson(ServerListener_->localEndpoint(), State, Born, Sequence));
  });
}

std::size_t EntryFixture::requestsAtServer() {
  return on([this] { return Server_.Requests_.size(); });
}

} // namespace laburnum::entry_process
