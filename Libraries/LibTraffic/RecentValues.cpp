#include <LibTraffic/RecentValues.h>

#include <algorithm>

namespace laburnum {

namespace {

constexpr std::size_t MaxValues = 128;
/// Least share of all values that the usual one has.
constexpr std::size_t UsualPercent = 90;

} // namespace

void RecentValues::add(std::uint64_t Value) {
  Values_.push_back(Value);
  ++Counts_[Value];
  if (Values_.size() <= MaxValues)
    return;
  auto const Oldest = Counts_.find(Values_.front());
  Values_.pop_front();
  if (--Oldest->second == 0)
    Counts_.erase(Oldest);
}

std::optional<std::uint64_t> RecentValues::usual(std::size_t MinCount) const {
  auto const Commonest = std::max_element(
      Counts_.begin(), Counts_.end(), [](auto const &One, auto const &Other) {
        return One.second < Other.second;
      });
  if (Commonest == Counts_.end() || Commonest->second < MinCount ||
      100 * Commonest->second < UsualPercent * Values_.size())
    return std::nullopt;
  return Commonest->first;
}

std::optional<std::uint64_t> RecentValues::largest() const {
  if (Counts_.empty())
    return std::nullopt;
  return Counts_.rbegin()->first;
}

} // namespace laburnum
