#include <LibTraffic/SoftwareVersions.h>

#include <LibTraffic/StreamOrigins.h>

#include <algorithm>
#include <set>

namespace laburnum {

bool SoftwareVersions::isRecent(std::optional<Duration> const &LeftAt,
                                Duration TimeOfDay) {
  return !LeftAt || TimeOfDay - *LeftAt < RetentionTime;
}

void SoftwareVersions::forgetOld(Duration TimeOfDay) {
  for (auto &[Service, Versions] : History_)
    std::erase_if(Versions, [&](auto const &Version) {
      return !isRecent(Version.second, TimeOfDay);
    });
  std::erase_if(History_,
                [](auto const &Service) { return Service.second.empty(); });
}

void SoftwareVersions::setListed(std::vector<ServerRecord> const &Servers,
                                 Duration TimeOfDay) {
  std::set<std::pair<ServiceName, std::string>> Listed;
  for (auto const &Server : Servers) {
    Listed.insert({Server.Service_, Server.SoftwareVersion_});
    History_[Server.Service_][Server.SoftwareVersion_].reset();
  }
  for (auto &[Service, Versions] : History_)
    for (auto &[Version, LeftAt] : Versions)
      if (!LeftAt && !Listed.contains({Service, Version}))
        LeftAt = TimeOfDay;
  forgetOld(TimeOfDay);
}

void SoftwareVersions::onUnidentified(ServiceName const &Service,
                                      Duration TimeOfDay) {
  History_[Service][UnidentifiedVersion] = TimeOfDay;
}

void SoftwareVersions::merge(VersionHistory const &Recorded,
                             Duration TimeOfDay) {
  for (auto const &[Service, Versions] : Recorded)
    for (auto const &[Version, LeftAt] : Versions) {
      // What lies ahead comes from a clock that was wrong.
      auto const GoneAt = std::min(LeftAt.value_or(TimeOfDay), TimeOfDay);
      auto const [Known, IsNew] =
          History_[Service].try_emplace(Version, GoneAt);
      if (!IsNew && Known->second)
        Known->second = std::max(*Known->second, GoneAt);
    }
  forgetOld(TimeOfDay);
}

std::optional<std::string>
SoftwareVersions::onlyVersion(ServiceName const &Service,
                              Duration TimeOfDay) const {
  auto const Found = History_.find(Service);
  if (Found == History_.end())
    return std::nullopt;
  std::optional<std::string> Only;
  for (auto const &[Version, LeftAt] : Found->second) {
    if (!isRecent(LeftAt, TimeOfDay))
      continue;
    if (Only)
      return std::nullopt;
    Only = Version;
  }
  return Only;
}

bool SoftwareVersions::isMixed(Duration TimeOfDay) const {
  return std::any_of(
      History_.begin(), History_.end(), [&](auto const &Service) {
        return std::count_if(Service.second.begin(), Service.second.end(),
                             [&](auto const &Version) {
                               return isRecent(Version.second, TimeOfDay);
                             }) > 1;
      });
}

} // namespace laburnum
