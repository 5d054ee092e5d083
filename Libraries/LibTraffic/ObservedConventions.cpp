#include <LibTraffic/ObservedConventions.h>

namespace laburnum {

namespace {

/// Services times software versions; beyond it all are learned anew.
constexpr std::size_t MaxOrigins = 256;
/// Two equal steps are rare where identifiers grow irregularly, while a few
/// streams may begin alike.
constexpr std::size_t MinEqualSteps = 2;
/// More than a tenth of the steps that are remembered, so that no step is usual
/// for a while.
constexpr std::size_t StepsPerAgreement = 16;
constexpr std::size_t MinEqualFirstIds = 8;
constexpr std::size_t MinEqualData = 2;
constexpr std::size_t MinEqualEnds = 3;

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

void ObservedConventions::onAgreedStep(StreamOrigin const &Origin,
                                       std::uint64_t Step) {
  for (std::size_t Each = 0; Each < StepsPerAgreement; ++Each)
    onStep(Origin, Step);
}

void ObservedConventions::onData(StreamOrigin const &Origin,
                                 bool HasIdentifier) {
  observed(Origin).HasDataIdentifier_.add(HasIdentifier ? 1 : 0);
}

void ObservedConventions::onEnd(StreamOrigin const &Origin,
                                bool HasIdentifier) {
  observed(Origin).HasLastIdentifier_.add(HasIdentifier ? 1 : 0);
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

bool ObservedConventions::numbersData(StreamOrigin const &Origin) const {
  auto const *const Known = find(Origin);
  return Known && Known->HasDataIdentifier_.usual(MinEqualData) == 1;
}

bool ObservedConventions::numbersLast(StreamOrigin const &Origin) const {
  auto const *const Known = find(Origin);
  return Known && Known->HasLastIdentifier_.usual(MinEqualEnds) == 1;
}

} // namespace laburnum
