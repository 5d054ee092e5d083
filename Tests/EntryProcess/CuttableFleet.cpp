#include "CuttableFleet.h"

#include "StandinRecords.h"

#include <variant>

namespace laburnum::entry_process {

namespace {

constexpr std::int64_t Born = 1700000000000;
Endpoint const AnyPort{"127.0.0.1", 0};

} // namespace

CuttableFleet::CuttableFleet(unsigned Instances) {
  std::vector<std::uint16_t> Ports;
  std::uint16_t StorePort = 0;
  Thread_.on([&] {
    auto const Listen = [this](HttpService &Service) {
      Listeners_.push_back(std::get<0>(
          HttpListener::create(Thread_.context(), AnyPort, Service)));
      return Listeners_.back()->localEndpoint();
    };
    Store_.put("config", "main", configurationJson(1));
    for (unsigned Number = 0; Number < Servers; ++Number) {
      auto const Address = Listen(Server_);
      Ports.push_back(Address.Port_);
      Store_.put("servers", "i-" + std::to_string(Number + 1),
                 serverJson(Address, "ready", Born + Number, 1));
    }
    StorePort = Listen(Store_).Port_;
  });
  for (unsigned Number = 0; Number < Instances; ++Number) {
    Cuts_.prepareStart(Number, Ports, StorePort);
    Instances_.push_back(
        std::make_unique<EntryProcess>(Number, StorePort, "cuttable-entry"));
    Instances_.back()->start();
  }
  for (auto const &Instance : Instances_)
    Instance->process().awaitLine("fleet_changed live=" +
                                  std::to_string(Instances));
}

CuttableFleet::~CuttableFleet() {
  Instances_.clear();
  Thread_.on([this] {
    for (auto const &Listener : Listeners_)
      Listener->stopAccepting();
  });
  Thread_.stop();
}

void CuttableFleet::setServerMode(ServerMode Mode) {
  Thread_.on([&] { Server_.Mode_ = Mode; });
}

std::map<std::string, unsigned> CuttableFleet::runsByPath() {
  return Thread_.on([this] {
    std::map<std::string, unsigned> Runs;
    for (auto const &Request : Server_.Requests_)
      ++Runs[Request.Head_.Target_];
    return Runs;
  });
}

} // namespace laburnum::entry_process
