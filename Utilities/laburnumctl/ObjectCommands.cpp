#include "ObjectCommands.h"
#include "Change.h"

namespace laburnum {

namespace {

auto nameOption(KindWords const &Words) {
  return [Words](cxxopts::Options &Options) {
    Options.add_options(Words.Noun_)(Words.NameOption_,
                                     "the " + Words.Noun_ + "'s name",
                                     cxxopts::value<std::string>(), "NAME");
  };
}

Command listCommand(KindWords const &Words) {
  return {Words.Noun_,
          "list",
          "list every " + Words.Noun_,
          {Words.Noun_ + " list", Words.Noun_ + " list --output json"},
          [](cxxopts::Options &) {},
          [Words](Session &Now) { return runList(Now, Words.Kind_); }};
}

Command showCommand(KindWords const &Words) {
  return {Words.Noun_,
          "show",
          "show all fields of one " + Words.Noun_,
          {Words.Noun_ + " show --" + Words.NameOption_ + " " + Words.Example_},
          nameOption(Words),
          [Words](Session &Now) {
            return withName(Now, Words, [&](ObjectName const &Name) {
              return runShow(Now, Name);
            });
          }};
}

Command deleteCommand(KindWords const &Words) {
  auto const AddOptions = [Words](cxxopts::Options &Options) {
    nameOption(Words)(Options);
    addChangeOptions(Options);
  };
  return {
      Words.Noun_,
      "delete",
      "delete one " + Words.Noun_,
      {Words.Noun_ + " delete --" + Words.NameOption_ + " " + Words.Example_},
      AddOptions,
      [Words](Session &Now) {
        return withName(Now, Words, [&](ObjectName const &Name) {
          return runDelete(Now, Name);
        });
      }};
}

} // namespace

std::vector<Command> commonCommands(KindWords const &Words) {
  return {listCommand(Words), showCommand(Words), deleteCommand(Words)};
}

CommandOutcome withName(Session &Now, KindWords const &Words,
                        std::function<CommandOutcome(ObjectName const &)> Do) {
  if (!Now.has(Words.NameOption_))
    return CommandFailure{{ErrorKind::InvalidArgument,
                           "--" + Words.NameOption_ + " is missing",
                           "name the " + Words.Noun_ + " with it"},
                          std::nullopt};
  return Do({Words.Kind_, Now.text(Words.NameOption_)});
}

} // namespace laburnum
