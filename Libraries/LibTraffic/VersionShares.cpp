#include <LibTraffic/VersionShares.h>

#include <algorithm>
#include <utility>

namespace laburnum {

namespace {

constexpr double PartsPerUnit = 1e6;
/// Requests that an instance may make up for at most, so that credit from a
/// time without free servers does not lead to a burst.
constexpr double MaxCredit = 2.0;

} // namespace

void VersionShares::setTargets(std::map<ServiceName, std::string> Targets) {
  std::erase_if(Services_, [&](auto const &Entry) {
    auto const Found = Targets.find(Entry.first);
    return Found == Targets.end() || Found->second != Entry.second.Target_;
  });
  for (auto &[Name, Target] : Targets)
    Services_.try_emplace(Name, Service{Target});
}

void VersionShares::onShares(RolloutShares const &Received, TimePoint Now) {
  if (Received.Fence_ < Fence_)
    return;
  Fence_ = Received.Fence_;
  for (auto const &Share : Received.Shares_) {
    auto const Found = Services_.find(Share.Service_);
    if (Found == Services_.end() || Found->second.Target_ != Share.Target_)
      continue;
    Found->second.Share_ = Share.PartsPerMillion_ / PartsPerUnit;
    Found->second.ReceivedAt_ = Now;
  }
}

std::optional<VersionShares::Choice>
VersionShares::choose(ServiceName const &Service, TimePoint Now) {
  auto const Found = Services_.find(Service);
  if (Found == Services_.end())
    return std::nullopt;
  auto &Known = Found->second;
  bool const IsValid = Known.ReceivedAt_ != TimePoint::min() &&
                       Known.ReceivedAt_ + Validity >= Now;
  if (!IsValid || Known.Share_ <= 0.0) {
    Known.Credit_ = 0.0;
    return Choice{Known.Target_, Choice::Use::Others};
  }
  Known.Credit_ = std::min(Known.Credit_ + Known.Share_, MaxCredit);
  if (Known.Credit_ < 1.0)
    return Choice{Known.Target_, Choice::Use::Others};
  Known.Credit_ -= 1.0;
  return Choice{Known.Target_, Choice::Use::Target};
}

void VersionShares::returnCredit(ServiceName const &Service) {
  if (auto const Found = Services_.find(Service); Found != Services_.end())
    Found->second.Credit_ = std::min(Found->second.Credit_ + 1.0, MaxCredit);
}

} // namespace laburnum
