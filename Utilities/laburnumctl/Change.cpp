#include "Change.h"
#include "ObjectReport.h"

#include <LibCore/IdentifierSource.h>

#include <iostream>
#include <random>

namespace laburnum {

namespace {

ChangeId changeIdOf(Session const &Now) {
  if (Now.has("change-id"))
    return ChangeId(Now.text("change-id"));
  constexpr int BitsPerWord = 32;
  std::random_device Entropy;
  auto const High = static_cast<std::uint64_t>(Entropy()) << BitsPerWord;
  return ChangeId(IdentifierSource(High | Entropy()).next());
}

CommandFailure conflictOf(ObjectName const &Name, Version Expected,
                          Version Present) {
  return {{ErrorKind::Conflict,
           toString(Name.Kind_) + " " + Name.Name_ + " is at version " +
               std::to_string(Present) + ", not at the expected version " +
               std::to_string(Expected),
           "look at it again, and if the change is still right, repeat the "
           "command without --expected-version and --change-id"},
          Present};
}

Report reportChange(ObjectName const &Name, ChangeId const &Id,
                    ChangeOutcome const &Outcome) {
  auto const IsRepeated = Outcome.Verdict_ == ChangeVerdict::Repeated;
  auto const Text =
      toString(Name.Kind_) + " " + Name.Name_ + ": version " +
      std::to_string(Outcome.Version_) +
      (IsRepeated ? " (this change was accepted before)\n" : "\n");
  return {Text,
          {{"kind", toString(Name.Kind_)},
           {"name", Name.Name_},
           {"change_id", Id.text()},
           {"version", Outcome.Version_},
           {"repeated_change", IsRepeated}}};
}

} // namespace

void addChangeOptions(cxxopts::Options &Options) {
  Options.add_options("Change")(
      "change-id",
      "identifier of the change; the same one again is the same change",
      cxxopts::value<std::string>(), "ID")(
      "expected-version",
      "refuse the change at any other version; 0: must not exist (default: "
      "the present version)",
      cxxopts::value<WholeNumber<Version>>(), "N");
}

Result<std::optional<ObjectView>> lookUp(Session &Now, ObjectName const &Name) {
  auto const Found = Now.Client_.listObjects({Name.Kind_, Name.Name_});
  if (isError(Found) && errorOf(Found).Kind_ == ErrorKind::NotFound)
    return std::optional<ObjectView>();
  if (isError(Found))
    return errorOf(Found);
  for (auto const &View : valueOf(Found))
    if (nameOf(View) == Name.Name_)
      return std::optional(View);
  return std::optional<ObjectView>();
}

CommandOutcome sendChange(Session &Now, ObjectName const &Name,
                          std::optional<ObjectView> const &Present,
                          ChangeCall const &Send) {
  OperatorChange Change{changeIdOf(Now), Present ? Present->Version_ : 0, ""};
  Now.read("expected-version", Change.Expected_);
  std::cerr << "change-id: " << Change.Id_.text() << std::endl;
  auto const Outcome = Send(Change);
  if (isError(Outcome))
    return CommandFailure{errorOf(Outcome), std::nullopt};
  if (valueOf(Outcome).Verdict_ == ChangeVerdict::Conflict)
    return conflictOf(Name, Change.Expected_, valueOf(Outcome).Version_);
  return reportChange(Name, Change.Id_, valueOf(Outcome));
}

CommandOutcome runList(Session &Now, ObjectKind Kind) {
  auto const Views = Now.Client_.listObjects({Kind, ""});
  if (isError(Views))
    return CommandFailure{errorOf(Views), std::nullopt};
  return reportObjects(Kind, valueOf(Views));
}

CommandOutcome runShow(Session &Now, ObjectName const &Name) {
  auto const Found = lookUp(Now, Name);
  if (isError(Found))
    return CommandFailure{errorOf(Found), std::nullopt};
  if (!valueOf(Found))
    return CommandFailure{
        {ErrorKind::NotFound,
         "there is no " + toString(Name.Kind_) + " " + Name.Name_,
         "check the name with the list command"},
        std::nullopt};
  return reportObject(*valueOf(Found));
}

CommandOutcome runDelete(Session &Now, ObjectName const &Name) {
  auto const Found = lookUp(Now, Name);
  if (isError(Found))
    return CommandFailure{errorOf(Found), std::nullopt};
  return sendChange(Now, Name, valueOf(Found),
                    [&](OperatorChange const &Change) {
                      return Now.Client_.remove(Change, Name);
                    });
}

} // namespace laburnum
