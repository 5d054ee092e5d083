#include "LinkCuts.h"

#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <string>
#include <utility>

namespace laburnum::entry_process {

namespace {

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

LinkCuts::LinkCuts(StandinThread &Thread) : BlackHole_(Thread.context()) {
  auto Template =
      (std::filesystem::temp_directory_path() / "laburnum-cut-XXXXXX").string();
  if (!mkdtemp(Template.data()))
    throw std::runtime_error("no folder for the cuts");
  Folder_ = Template;
  Thread.on([&] {
    BlackHole_.open(asio::ip::tcp::v4());
    BlackHole_.bind({asio::ip::address_v4::loopback(), 0});
    BlackHole_.listen(0);
    for (int Index = 0; Index < 2; ++Index)
      BlackHoleQueue_.emplace_back(Thread.context())
          .async_connect(BlackHole_.local_endpoint(), [](asio::error_code) {});
  });
}

LinkCuts::~LinkCuts() { std::filesystem::remove_all(Folder_); }

void LinkCuts::prepareStart(std::size_t Instance,
                            std::vector<std::uint16_t> const &ServerPorts,
                            std::uint16_t StorePort) {
  std::string Ports;
  for (auto const Port : ServerPorts)
    Ports += (Ports.empty() ? "" : ",") + std::to_string(Port);
  setenv("LABURNUM_CUT_PORTS", Ports.c_str(), 1);
  setenv("LABURNUM_STORE_PORT", std::to_string(StorePort).c_str(), 1);
  setenv("LABURNUM_BLACK_HOLE",
         std::to_string(BlackHole_.local_endpoint().port()).c_str(), 1);
  setenv("LABURNUM_CUT_FILE", file(Instance).c_str(), 1);
  Cuts_[Instance] = {};
  write(Instance);
}

void LinkCuts::cut(std::size_t Instance, Cut Cut) {
  Cuts_[Instance].Servers_ = Cut;
  write(Instance);
}

void LinkCuts::drop(std::size_t Instance, std::set<std::string> Dropped) {
  Cuts_[Instance].Dropped_ = std::move(Dropped);
  write(Instance);
}

void LinkCuts::write(std::size_t Instance) const {
  auto const &Cuts = Cuts_.at(Instance);
  std::ofstream File(file(Instance).string() + ".new");
  File << codeOf(Cuts.Servers_) << '\n';
  for (auto const &Link : Cuts.Dropped_)
    File << Link << '\n';
  File.close();
  std::filesystem::rename(file(Instance).string() + ".new", file(Instance));
}

} // namespace laburnum::entry_process
