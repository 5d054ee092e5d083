// The choice of a server for a request.

#include <LibTraffic/ServerRoster.h>

#include <LibCore/Hash.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace laburnum {

namespace {

/// The preferred server of a prefix is skipped once its load exceeds the mean
/// by this factor (consistent hashing with bounded loads), but not while it
/// uses less than this fraction of its slots: it then answers in time, and
/// another server would have to process the prefix again.
constexpr double AffinityLoadBound = 1.5;
constexpr double AffinityFreeFraction = 0.4;
/// Time that distance adds to an answer of a server that is placed by work.
constexpr std::chrono::milliseconds OtherDataCentreTime{3};
constexpr std::chrono::milliseconds OtherRegionTime{20};

} // namespace

std::vector<ServerRoster::Entry const *>
ServerRoster::usable(ServerQuery const &Query, TimePoint Now) const {
  std::vector<Entry const *> Candidates;
  bool const AvoidsVersion =
      !Query.AvoidedVersion_.empty() &&
      hasOtherVersion(Query.Service_, Query.AvoidedVersion_);
  for (auto const &[Id, Server] : Servers_)
    if (matches(Server, Query) && takesRequests(Server, Now) &&
        !(AvoidsVersion &&
          Server.Record_.SoftwareVersion_ == Query.AvoidedVersion_))
      Candidates.push_back(&Server);
  auto const IsReachable = [&](Entry const *Server) {
    return Server->Status_.UnreachableUntil_ <= Now;
  };
  // If all seem unreachable, the reports may be wrong.
  if (std::any_of(Candidates.begin(), Candidates.end(), IsReachable))
    std::erase_if(Candidates, std::not_fn(IsReachable));
  auto const Connections = connectionShare(Query.Service_);
  std::erase_if(Candidates, [&](Entry const *Server) {
    return load(*Server, Now) >= slotsOf(Server->Record_) ||
           Server->Attempts_.Running_ >= Connections ||
           Server->Attempts_.Running_ >= slotShare(*Server, Now);
  });
  return Candidates;
}

ServerRoster::Entry const *
ServerRoster::byAffinity(std::vector<Entry const *> const &Usable,
                         std::string const &Affinity, TimePoint Now) const {
  double Total = 1.0;
  for (auto const *Server : Usable)
    Total += adjustedLoad(*Server, Now);
  auto const Bound =
      std::ceil(AffinityLoadBound * Total / static_cast<double>(Usable.size()));
  auto const Order = rendezvousOrder(
      Affinity, Usable, [](Entry const *Server) -> std::string const & {
        return Server->Record_.Id_.text();
      });
  for (auto const *Server : Order)
    if (adjustedLoad(*Server, Now) + 1.0 <=
        std::max(Bound, AffinityFreeFraction * slotsOf(Server->Record_)))
      return Server;
  return Order.front();
}

PlacementCandidate ServerRoster::candidateOf(Entry const &Server,
                                             TimePoint Now) const {
  bool const IsFresh = Server.LoadReportedAt_ + LoadValidity > Now;
  auto const &Centre = Server.Record_.DataCentre_;
  auto const Distance = Centre == Geography_.Local_ ? Duration(0)
                        : isInLocalRegion(Centre)
                            ? Duration(OtherDataCentreTime)
                            : Duration(OtherRegionTime);
  return {Backlog_.load(Server.Incarnation_, Now),
          IsFresh ? Server.Slowdown_ : 1.0, Distance};
}

ServerRoster::Entry const *
ServerRoster::byWork(std::vector<Entry const *> Usable,
                     ServerQuery const &Query, TimePoint Now) {
  if (!Query.Affinity_.empty()) {
    Usable = rendezvousOrder(Query.Affinity_, std::move(Usable),
                             [](Entry const *Server) -> std::string const & {
                               return Server->Record_.Id_.text();
                             });
    // Other regions keep the shared parts for their own requests.
    std::stable_partition(Usable.begin(), Usable.end(),
                          [&](Entry const *Server) {
                            return isInLocalRegion(Server->Record_.DataCentre_);
                          });
    Backlog_.onPreferred(Usable.front()->Incarnation_, *Query.Work_);
  }
  std::vector<PlacementCandidate> Candidates;
  for (auto const *Server : Usable)
    Candidates.push_back(candidateOf(*Server, Now));
  auto const Speed = ReadingSpeeds_.find(Query.Service_);
  EngineEstimate const Engine{Speed == ReadingSpeeds_.end() ? 0.0
                                                            : Speed->second,
                              Engines_.at(Query.Service_).MemoryTokens_};
  auto const Placed = placeByWork(Candidates, *Query.Work_, Engine, Generator_);
  return Usable[Placed.Candidate_];
}

std::optional<ServerRecord> ServerRoster::choose(ServerQuery const &Query,
                                                 TimePoint Now) {
  auto Usable = usable(Query, Now);
  if (Usable.empty())
    return std::nullopt;
  if (Query.Work_ && isWorkBound(Query.Service_))
    return byWork(std::move(Usable), Query, Now)->Record_;
  if (!Query.Affinity_.empty())
    return byAffinity(Usable, Query.Affinity_, Now)->Record_;
  // Ties are broken at random, so that instances do not all choose one server.
  std::shuffle(Usable.begin(), Usable.end(), Generator_);
  return (*std::min_element(Usable.begin(), Usable.end(),
                            [&](Entry const *Left, Entry const *Right) {
                              return cost(*Left, Now) < cost(*Right, Now);
                            }))
      ->Record_;
}

} // namespace laburnum
