#include <LibControl/RateLimitDissemination.h>

#include <LibControl/BroadcastTree.h>
#include <LibCore/Hash.h>

#include <algorithm>
#include <utility>

namespace laburnum {

namespace {

/// Instances that send the limits to a new one.
constexpr std::size_t Introducers = 2;

} // namespace

std::vector<Endpoint>
RateLimitDissemination::setMembers(std::vector<Member> const &Members) {
  Live_ = liveInstances(Self_, Members);
  std::set<InstanceId> Present;
  std::vector<Endpoint> Introduced;
  for (auto const &Member : Members) {
    auto const &Instance = Member.Instance_;
    if (Member.Liveness_ != Liveness::Live || Instance.Id_ == Self_.Id_)
      continue;
    Present.insert(Instance.Id_);
    if (Known_.contains(Instance.Id_))
      continue;
    auto Order = rendezvousOrder(endpointKey(Instance), Live_, endpointKey);
    std::erase_if(Order, [&](EntryInstance const &Other) {
      return Other.Peers_ == Instance.Peers_;
    });
    auto const End = Order.begin() + static_cast<std::ptrdiff_t>(
                                         std::min(Introducers, Order.size()));
    if (std::find(Order.begin(), End, Self_) != End)
      Introduced.push_back(Instance.Peers_);
  }
  Known_ = std::move(Present);
  return Introduced;
}

std::vector<Endpoint> RateLimitDissemination::others() const {
  std::vector<Endpoint> Others;
  for (auto const &Instance : Live_)
    if (Instance.Peers_ != Self_.Peers_)
      Others.push_back(Instance.Peers_);
  return Others;
}

std::vector<Endpoint> RateLimitDissemination::randomOther() {
  std::vector<Endpoint> Chosen;
  auto const Others = this->others();
  std::sample(Others.begin(), Others.end(), std::back_inserter(Chosen), 1,
              Generator_);
  return Chosen;
}

std::vector<EntryInstance>
RateLimitDissemination::sharers(Liveness Self) const {
  auto Sharers = Live_;
  if (Self != Liveness::Live && Sharers.size() > 1)
    std::erase(Sharers, Self_);
  return Sharers;
}

} // namespace laburnum
