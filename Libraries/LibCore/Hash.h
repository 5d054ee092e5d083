#pragma once

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <vector>

namespace laburnum {

/// A 64-bit hash that is the same on every machine (XXH3).
std::uint64_t stableHash(std::string_view Bytes, std::uint64_t Seed = 0);

/// Orders Members by their rendezvous weight for Key, the highest first. Every
/// process that knows the same members finds the same order, and removing one
/// member moves only the keys that it held. TextOf gives a member's name.
template <typename Member, typename TextOf>
std::vector<Member> rendezvousOrder(std::string_view Key,
                                    std::vector<Member> Members,
                                    TextOf const &Text) {
  auto const KeyHash = stableHash(Key);
  auto const Weight = [&](Member const &One) {
    return stableHash(Text(One), KeyHash);
  };
  std::sort(Members.begin(), Members.end(),
            [&](Member const &Left, Member const &Right) {
              auto const LeftWeight = Weight(Left);
              auto const RightWeight = Weight(Right);
              if (LeftWeight != RightWeight)
                return LeftWeight > RightWeight;
              return Text(Left) < Text(Right);
            });
  return Members;
}

} // namespace laburnum
