#include <LibFleet/EqualShare.h>

#include <algorithm>

namespace laburnum {

double equalShare(std::vector<Member> const &Members) {
  auto const Live =
      std::count_if(Members.begin(), Members.end(), [](Member const &Entry) {
        return Entry.Liveness_ == Liveness::Live;
      });
  return 1.0 / static_cast<double>(std::max<std::ptrdiff_t>(Live, 1));
}

} // namespace laburnum
