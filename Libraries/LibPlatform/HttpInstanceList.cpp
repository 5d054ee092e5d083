#include <LibPlatform/HttpInstanceList.h>

#include <LibPlatform/PlatformCodec.h>
#include <LibPlatform/PlatformErrors.h>

namespace laburnum {

Result<InstanceListing> HttpInstanceList::fetch(Duration Timeout) {
  std::string const CallName = "reading the instance list";
  auto const Reply = Connection_.call({"GET", "/instances", {}}, Timeout);
  if (auto Failure = errorIn(Reply, PlatformCallEffect::ReadsOnly, CallName))
    return *Failure;
  auto Listing = decodeInstanceListing(std::get<PlatformAnswer>(Reply).Body_);
  if (!Listing)
    return malformedAnswer(PlatformCallEffect::ReadsOnly, CallName);
  return *std::move(Listing);
}

} // namespace laburnum
