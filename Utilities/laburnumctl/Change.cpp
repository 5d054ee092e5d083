#include "Change.h"
#include "ObjectReport.h"

#include <LibCore/IdentifierSource.h>

#include <iostream>
#include <random>

namespace laburnum {

namespace {

ChangeId changeIdOf(Session const &Context) {
  if (Context.has("change-id"))
    return ChangeId(Context.text("change-id"));
  constexpr int BitsPerWord = 32;
  std::random_device Entropy;
  auto const High = static_cast<std::uint64_t>(Entropy()) << BitsPerWord;
  return ChangeId(IdentifierSource(High | Entropy()).next());
}

CommandFailure conflictOf(ObjectName const &Name, Version Expected,
                          Version Current) {
  return {{ErrorKind::Conflict,
           toString(Name.Kind_) + " " + Name.Name_ + " is at version " +
               std::to_string(Current) + ", not at the expected version " +
               std::to_string(Expected),
           "look at it again, and if the change is still right, repeat the "
           "command without --expected-version and --change-id"},
          Current};
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
      "identifier of the change; repeating it does not change twice",
      cxxopts::value<std::string>(), "ID")(
      "expected-version",
      "refuse the change at any other version; 0: must not exist (default: "
      "the current version)",
      cxxopts::value<DecimalInteger<Version>>(), "N");
}

Result<std::optional<ObjectView>> findObject(Session &Context,
                                             ObjectName const &Name) {
  auto const Found = Context.Client_.listObjects({Name.Kind_, Name.Name_});
  if (isError(Found) && errorOf(Found).Kind_ == ErrorKind::NotFound)
    return std::optional<ObjectView>();
  if (isError(Found))
    return errorOf(Found);
  for (auto const &View : valueOf(Found))
    if (nameOf(View) == Name.Name_)
      return std::optional(View);
  return std::optional<ObjectView>();
}

CommandOutcome sendChange(Session &Context, ObjectName const &Name,
                          std::optional<ObjectView> const &Current,
                          ChangeCall const &Send) {
  OperatorChange Change{changeIdOf(Context), Current ? Current->Version_ : 0,
                        ""};
  Context.read("expected-version", Change.Expected_);
  std::cerr << "change-id: " << Change.Id_.text() << std::endl;
  auto const Outcome = Send(Change);
  if (isError(Outcome))
    return CommandFailure{errorOf(Outcome), std::nullopt};
  if (valueOf(Outcome).Verdict_ == ChangeVerdict::Conflict)
    return conflictOf(Name, Change.Expected_, valueOf(Outcome).Version_);
  return reportChange(Name, Change.Id_, valueOf(Outcome));
}

CommandOutcome runList(Session &Context, ObjectKind Kind) {
  auto const Views = Context.Client_.listObjects({Kind, ""});
  if (isError(Views))
    return CommandFailure{errorOf(Views), std::nullopt};
  return reportObjects(Kind, valueOf(Views));
}

CommandOutcome runShow(Session &Context, ObjectName const &Name) {
  auto const Found = findObject(Context, Name);
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

CommandOutcome runDelete(Session &Context, ObjectName const &Name) {
  auto const Found = findObject(Context, Name);
  if (isError(Found))
    return CommandFailure{errorOf(Found), std::nullopt};
  return sendChange(Context, Name, valueOf(Found),
                    [&](OperatorChange const &Change) {
                      return Context.Client_.remove(Change, Name);
                    });
}

} // namespace laburnum
