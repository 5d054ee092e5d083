#pragma once

#include <Fakes/FakeAsyncStore.h>

#include <LibControl/StreamOriginRecords.h>

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace laburnum::test {

using std::chrono::milliseconds;
using std::chrono::seconds;
using HistoryRole = OriginHistory::Role;

inline constexpr Duration Epoch = std::chrono::hours(490000);
inline constexpr milliseconds Tick{250};
inline ServiceName const Writer("writer");
inline ServiceName const Drafter("drafter");

inline ServerRecord server(std::string const &Version) {
  ServerRecord Made;
  Made.Id_ = ServerId(Version);
  Made.Service_ = Writer;
  Made.SoftwareVersion_ = Version;
  return Made;
}

/// A configuration that leads the host's streams to a service.
inline std::shared_ptr<RouteTable const> table(std::uint64_t Version,
                                               ServiceName const &Service) {
  Route Made;
  Made.Host_ = "host";
  Made.PathPrefix_ = "/stream/";
  Made.Services_ = {{Service, 1}};
  return std::make_shared<RouteTable>(
      Version, std::vector<Route>{Made}, std::vector<RoutedService>(),
      std::vector<RoutedAccount>(), ClientBounds());
}

inline ObjectKey const VersionsKey{"entry-software-versions", "history"};
inline ObjectKey const MovesKey{"entry-software-versions", "moved-routes"};

/// Instances that record the origins of their streams in one store.
struct OriginFixture {
  using Records = std::shared_ptr<StreamOriginRecords>;

  Duration timeOfDay() const { return Epoch + Now_.time_since_epoch(); }

  /// Starts an instance, or a later incarnation of it.
  Records start(std::string const &Name,
                HistoryRole Role = HistoryRole::Keeps) {
    auto Made = std::make_shared<StreamOriginRecords>(Store_, Name);
    if (Table_)
      Made->setTable(Table_, timeOfDay(), Now_);
    Made->setListed(Listed_, timeOfDay(), Now_);
    Made->setHistoryRole(Role, timeOfDay(), Now_);
    Store_.deliver();
    return Made;
  }
  void list(std::vector<std::string> const &Versions,
            std::vector<Records> const &Instances) {
    Listed_.clear();
    for (auto const &Version : Versions)
      Listed_.push_back(server(Version));
    for (auto const &Instance : Instances)
      Instance->setListed(Listed_, timeOfDay(), Now_);
    Store_.deliver();
  }
  /// Puts a configuration in force.
  void lead(std::uint64_t Version, ServiceName const &Service,
            std::vector<Records> const &Instances) {
    Table_ = table(Version, Service);
    for (auto const &Instance : Instances)
      Instance->setTable(Table_, timeOfDay(), Now_);
    Store_.deliver();
  }
  std::string stored(ObjectKey const &Key) const {
    return Store_.Objects_.find(Key).Value_;
  }
  void pass(std::vector<Records> const &Instances, Duration Time) {
    for (auto const End = Now_ + Time; Now_ < End;) {
      Now_ += Tick;
      for (auto const &Instance : Instances)
        Instance->tick(timeOfDay(), Now_);
      Store_.deliver();
    }
  }
  void setUnfinished(Records const &Instance,
                     std::vector<BegunStream> const &Streams) const {
    Instance->setUnfinished(Streams, timeOfDay(), Now_);
  }
  OriginAnswer find(Records const &Instance, std::string const &Stream) {
    std::optional<OriginAnswer> Answer;
    Instance->find({Writer, "host", "/stream/", Stream}, timeOfDay(), Now_,
                   [&](OriginAnswer const &Found) { Answer = Found; });
    Store_.deliver();
    for (int Ticks = 0; !Answer && Ticks < 40; ++Ticks)
      pass({Instance}, Tick);
    REQUIRE(Answer);
    return *Answer;
  }

  FakeAsyncStore Store_;
  TimePoint Now_{seconds(100)};
  std::vector<ServerRecord> Listed_{server("v1")};
  std::shared_ptr<RouteTable const> Table_;
};

inline StreamOrigin origin(std::string const &Version) {
  return {Writer, Version};
}

inline OriginAnswer const NotRecorded{std::nullopt, OriginSource::NotRecorded};
inline OriginAnswer const OnlyVersion{origin("v1"), OriginSource::OnlyVersion};

} // namespace laburnum::test
