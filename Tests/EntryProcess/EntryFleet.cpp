#include "EntryFleet.h"

#include "StandinRecords.h"

#include <algorithm>
#include <variant>

namespace laburnum::entry_process {

EntryFleet::EntryFleet(unsigned Instances, unsigned Servers,
                       CrashableServerTimings Timings) {
  Thread_.on([&] {
    StoreListener_ = std::get<0>(
        HttpListener::create(Thread_.context(), {"127.0.0.1", 0}, Store_));
    Store_.put("config", "main", configurationJson(1));
    for (unsigned Number = 0; Number < Servers; ++Number)
      Servers_.emplace_back(Thread_.context(), Store_, Number, Timings)
          .startIncarnation();
  });
  for (unsigned Number = 0; Number < Instances; ++Number)
    Instances_.push_back(std::make_unique<EntryProcess>(
        Number, StoreListener_->localEndpoint().Port_));
  start();
}

void EntryFleet::start() {
  for (auto const &Instance : Instances_)
    Instance->start();
  for (auto const &Instance : Instances_)
    Instance->process().awaitLine("fleet_changed live=" +
                                  std::to_string(Instances_.size()));
}

void EntryFleet::restart() {
  for (auto const &Instance : Instances_)
    Instance->kill();
  start();
}

EntryFleet::~EntryFleet() {
  Instances_.clear();
  Thread_.on([this] {
    StoreListener_->stopAccepting();
    for (auto &Server : Servers_)
      Server.stop();
  });
  Thread_.stop();
}

std::size_t EntryFleet::crashingRequestsReceived() {
  return Thread_.on([this] {
    std::size_t Sum = 0;
    for (auto const &Server : Servers_)
      Sum += Server.crashingRequests();
    return Sum;
  });
}

void EntryFleet::setRunListener(CrashableServer::RunListener const &Listener) {
  Thread_.on([&] {
    for (auto &Server : Servers_)
      Server.setRunListener(Listener);
  });
}

void EntryFleet::setRateLimit(std::size_t Server,
                              std::optional<std::string> Text) {
  Thread_.on([&] { Servers_[Server].setRateLimit(std::move(Text)); });
}

void EntryFleet::setRateLimitFor(std::size_t Server, std::string Text,
                                 Duration Time,
                                 std::function<void()> OnLifted) {
  Thread_.on([&] {
    Servers_[Server].setRateLimitFor(std::move(Text), Time,
                                     std::move(OnLifted));
  });
}

std::vector<TimePoint> EntryFleet::arrivals(std::size_t Server) {
  return Thread_.on([&] { return Servers_[Server].arrivals(); });
}

void EntryFleet::crashServer(std::size_t Number) {
  Thread_.on([&] {
    if (!Servers_[Number].isDown())
      Servers_[Number].crash();
  });
}

bool EntryFleet::areServersKnown() {
  if (!areServersUp())
    return false;
  auto const Ids = Thread_.on([this] {
    std::vector<std::string> Ids;
    // Instances read the first incarnations with their first list.
    for (auto const &Server : Servers_)
      if (Server.incarnations() > 1)
        Ids.push_back(Server.id());
    return Ids;
  });
  return std::all_of(
      Instances_.begin(), Instances_.end(), [&](auto const &Instance) {
        return std::all_of(Ids.begin(), Ids.end(), [&](auto const &Id) {
          return Instance->process().hasWritten("server_changed server=" + Id);
        });
      });
}

std::size_t EntryFleet::countLines(std::string const &Text) {
  std::size_t Count = 0;
  for (auto const &Instance : Instances_)
    for (auto const &Line : Instance->process().lines())
      Count += Line.find(Text) == std::string::npos ? 0 : 1;
  return Count;
}

bool EntryFleet::areServersUp() {
  return Thread_.on([this] {
    return std::none_of(Servers_.begin(), Servers_.end(),
                        [](auto const &Server) { return Server.isDown(); });
  });
}

} // namespace laburnum::entry_process
