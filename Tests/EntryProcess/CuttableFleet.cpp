#include "CuttableFleet.h"

#include "StandinRecords.h"

#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <variant>

namespace laburnum::entry_process {

namespace {

constexpr std::int64_t Born = 1700000000000;
Endpoint const AnyPort{"127.0.0.1", 0};

char codeOf(Cut Cut) {
  switch (Cut) {
  case Cut::None:
    return 'n';
  case Cut::Hangs:
    return 'h';
  case Cut::Resets:
    return 'r';
  case Cut::RefusesNew:
    return 'f';
  }
  return 'n';
}

} // namespace

CuttableFleet::CuttableFleet(unsigned Instances) {
  auto Template =
      (std::filesystem::temp_directory_path() / "laburnum-cut-XXXXXX").string();
  if (!mkdtemp(Template.data()))
    throw std::runtime_error("no folder for the cuts");
  Folder_ = Template;
  std::string Ports;
  std::uint16_t StorePort = 0;
  std::uint16_t BlackHole = 0;
  Thread_.on([&] {
    auto const Listen = [this](HttpService &Service) {
      Listeners_.push_back(std::get<0>(
          HttpListener::create(Thread_.context(), AnyPort, Service)));
      return Listeners_.back()->localEndpoint();
    };
    Store_.put("config", "main", configurationJson(1));
    for (unsigned Number = 0; Number < Servers; ++Number) {
      auto const Address = Listen(Server_);
      Ports += (Ports.empty() ? "" : ",") + std::to_string(Address.Port_);
      Store_.put("servers", "i-" + std::to_string(Number + 1),
                 serverJson(Address, "ready", Born + Number, 1));
    }
    StorePort = Listen(Store_).Port_;
    BlackHole = openBlackHole();
  });
  setenv("LABURNUM_CUT_PORTS", Ports.c_str(), 1);
  setenv("LABURNUM_BLACK_HOLE", std::to_string(BlackHole).c_str(), 1);
  for (unsigned Number = 0; Number < Instances; ++Number) {
    cut(Number, Cut::None);
    setenv("LABURNUM_CUT_FILE", cutFile(Number).c_str(), 1);
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
    BlackHoleQueue_.clear();
    for (auto const &Listener : Listeners_)
      Listener->stopAccepting();
  });
  Thread_.stop();
  std::filesystem::remove_all(Folder_);
}

std::uint16_t CuttableFleet::openBlackHole() {
  BlackHole_.open(asio::ip::tcp::v4());
  BlackHole_.bind({asio::ip::address_v4::loopback(), 0});
  BlackHole_.listen(0);
  for (int Index = 0; Index < 2; ++Index)
    BlackHoleQueue_.emplace_back(Thread_.context())
        .async_connect(BlackHole_.local_endpoint(), [](asio::error_code) {});
  return BlackHole_.local_endpoint().port();
}

void CuttableFleet::cut(std::size_t Instance, Cut Cut) const {
  std::ofstream(cutFile(Instance).string() + ".new") << codeOf(Cut);
  std::filesystem::rename(cutFile(Instance).string() + ".new",
                          cutFile(Instance));
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
