#include "ObjectCommands.h"
#include "Change.h"

namespace laburnum {

namespace {

auto nameOption(KindNames const &Names) {
  return [Names](cxxopts::Options &Options) {
    Options.add_options(Names.Noun_)(Names.NameOption_,
                                     "the " + Names.Noun_ + "'s name",
                                     cxxopts::value<std::string>(), "NAME");
  };
}

Command listCommand(KindNames const &Names) {
  return {Names.Noun_,
          "list",
          "list every " + Names.Noun_,
          {Names.Noun_ + " list", Names.Noun_ + " list --output json"},
          [](cxxopts::Options &) {},
          [Names](Session &Context) { return runList(Context, Names.Kind_); }};
}

Command showCommand(KindNames const &Names) {
  return {Names.Noun_,
          "show",
          "show all fields of one " + Names.Noun_,
          {Names.Noun_ + " show --" + Names.NameOption_ + " " + Names.Example_},
          nameOption(Names),
          [Names](Session &Context) {
            return runWithName(Context, Names, [&](ObjectName const &Name) {
              return runShow(Context, Name);
            });
          }};
}

Command deleteCommand(KindNames const &Names) {
  auto const AddOptions = [Names](cxxopts::Options &Options) {
    nameOption(Names)(Options);
    addChangeOptions(Options);
  };
  return {
      Names.Noun_,
      "delete",
      "delete one " + Names.Noun_,
      {Names.Noun_ + " delete --" + Names.NameOption_ + " " + Names.Example_},
      AddOptions,
      [Names](Session &Context) {
        return runWithName(Context, Names, [&](ObjectName const &Name) {
          return runDelete(Context, Name);
        });
      }};
}

} // namespace

std::vector<Command> commonCommands(KindNames const &Names) {
  return {listCommand(Names), showCommand(Names), deleteCommand(Names)};
}

CommandOutcome
runWithName(Session &Context, KindNames const &Names,
            std::function<CommandOutcome(ObjectName const &)> Action) {
  if (!Context.has(Names.NameOption_))
    return CommandFailure{{ErrorKind::InvalidArgument,
                           "--" + Names.NameOption_ + " is missing",
                           "name the " + Names.Noun_ + " with it"},
                          std::nullopt};
  return Action({Names.Kind_, Context.text(Names.NameOption_)});
}

} // namespace laburnum
