#include <LibTraffic/ObservedConventions.h>

namespace laburnum {

namespace {

/// Services times software versions; beyond it all are learned anew.
constexpr std::size_t MaxOrigins = 256;
/// Two equal steps are rare where identifiers grow irregularly, while a few
/// streams may begin alike.
constexpr std::size_t MinEqualSteps = 2;
constexpr std::size_t MinEqualFirstIds = 8;
constexpr std::size_t MinEqualEnds = 8;

} // namespace

ObservedConventions::Observed &
ObservedConventions::observed(StreamOrigin const &Origin) {
  if (Origins_.size() >= MaxOrigins && !Origins_.contains(Origin))
    Origins_.clear();
  return Origins_[Origin];
}

ObservedConventions::Observed const *
ObservedConventions::find(StreamOrigin const &Origin) const {
  auto const Known = Origins_.find(Origin);
  return Known == Origins_.end() ? nullptr : &Known->second;
}

void ObservedConventions::onFirst(StreamOrigin const &Origin,
                                  std::uint64_t Id) {
  observed(Origin).FirstIds_.add(Id);
}

void ObservedConventions::onStep(StreamOrigin const &Origin,
                                 std::uint64_t Step) {
  observed(Origin).Steps_.add(Step);
}

void ObservedConventions::onEnd(StreamOrigin const &Origin,
                                exchange::AnswerEnd End) {
  observed(Origin).Ends_.add(End == exchange::AnswerEnd::Marked ? 1 : 0);
}

bool ObservedConventions::isLateFirst(StreamOrigin const &Origin,
                                      std::uint64_t Id) const {
  auto const *const Known = find(Origin);
  auto const Usual = Known ? Known->FirstIds_.usual(MinEqualFirstIds)
                           : std::optional<std::uint64_t>();
  return Usual && Id > *Usual;
}

bool ObservedConventions::isGap(StreamOrigin const &Origin,
                                std::uint64_t Step) const {
  auto const *const Known = find(Origin);
  auto const Usual = Known ? Known->Steps_.usual(MinEqualSteps)
                           : std::optional<std::uint64_t>();
  return Usual && Step > *Usual;
}

bool ObservedConventions::mayFollow(StreamOrigin const &Origin,
                                    std::uint64_t Step) const {
  if (isGap(Origin, Step))
    return false;
  auto const *const Known = find(Origin);
  auto const Largest =
      Known ? Known->Steps_.largest() : std::optional<std::uint64_t>();
  return !Largest || Step <= *Largest;
}

bool ObservedConventions::marksEnds(StreamOrigin const &Origin) const {
  auto const *const Known = find(Origin);
  return Known && Known->Ends_.usual(MinEqualEnds) == 1;
}

} // namespace laburnum
