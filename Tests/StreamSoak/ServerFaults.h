#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace laburnum::stream_soak {

/// What servers did wrong themselves in their runs, by run.
struct ServerFaults {
  /// Events that were sent, but in bytes that a client can't tell apart.
  std::map<std::string, std::set<std::uint64_t>> Unreadable_;
  /// Events that were not sent, in an answer that is whole otherwise.
  std::map<std::string, std::set<std::uint64_t>> LeftOut_;
  /// Runs that ended too early in a way that whole answers end, too.
  std::set<std::string> ShownWhole_;

  bool areUnreadable(std::string const &Run, std::uint64_t Begin,
                     std::uint64_t End) const {
    return contain(Unreadable_, Run, Begin, End);
  }
  bool areLeftOut(std::string const &Run, std::uint64_t Begin,
                  std::uint64_t End) const {
    return contain(LeftOut_, Run, Begin, End);
  }

private:
  using Events = std::map<std::string, std::set<std::uint64_t>>;

  static bool contain(Events const &Of, std::string const &Run,
                      std::uint64_t Begin, std::uint64_t End) {
    auto const Found = Of.find(Run);
    for (auto Event = Begin; Event < End; ++Event)
      if (Found == Of.end() || !Found->second.contains(Event))
        return false;
    return true;
  }
};

} // namespace laburnum::stream_soak
