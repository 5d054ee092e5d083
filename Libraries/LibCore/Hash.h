#pragma once

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

namespace laburnum {

/// Returns a 64-bit hash that is the same on every machine (XXH3).
std::uint64_t stableHash(std::string_view Bytes, std::uint64_t Seed = 0);

/// Returns Members sorted by their rendezvous hashing weight for Key, highest
/// first. Every process that knows the same members computes the same order,
/// and removing a member moves only the keys assigned to it. Text returns a
/// member's name.
template <typename Member, typename TextOf>
std::vector<Member> rendezvousOrder(std::string_view Key,
                                    std::vector<Member> Members,
                                    TextOf const &Text) {
  auto const KeyHash = stableHash(Key);
  std::vector<std::pair<std::uint64_t, Member>> Weighed;
  Weighed.reserve(Members.size());
  for (auto &Each : Members) {
    auto const Weight = stableHash(Text(Each), KeyHash);
    Weighed.emplace_back(Weight, std::move(Each));
  }
  std::sort(Weighed.begin(), Weighed.end(),
            [&](auto const &Left, auto const &Right) {
              if (Left.first != Right.first)
                return Left.first > Right.first;
              return Text(Left.second) < Text(Right.second);
            });
  Members.clear();
  for (auto &[Weight, Each] : Weighed)
    Members.push_back(std::move(Each));
  return Members;
}

} // namespace laburnum
