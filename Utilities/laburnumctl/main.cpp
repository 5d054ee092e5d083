// The operators' command line: finds the command, reads its options, runs it
// and prints what it reports.

#include "Command.h"
#include "Help.h"

#include <algorithm>
#include <iostream>

namespace {

using namespace laburnum;

CommandFailure misuse(std::string Message, std::string Remedy) {
  return {{ErrorKind::InvalidArgument, std::move(Message), std::move(Remedy)},
          std::nullopt};
}

int print(CommandOutcome const &Outcome, OutputFormat Output) {
  constexpr int Indent = 2;
  if (auto const *Done = std::get_if<Report>(&Outcome)) {
    std::cout << (Output == OutputFormat::Json ? Done->Json_.dump(Indent) + "\n"
                                               : Done->Text_);
    return Done->ExitCode_;
  }
  auto const &Failure = std::get<CommandFailure>(Outcome);
  if (Output == OutputFormat::Json)
    std::cout << toJson(Failure).dump(Indent) << "\n";
  else
    std::cerr << toString(Failure.Error_) << "\n";
  return exitCodeOf(Failure.Error_.Kind_);
}

int runParsed(Command const &One, cxxopts::Options const &Options,
              cxxopts::ParseResult const &Arguments) {
  if (Arguments.count("help") > 0) {
    std::cout << commandHelp(One, Options);
    return 0;
  }
  if (!Arguments.unmatched().empty())
    return print(misuse("unexpected word: " + Arguments.unmatched().front(),
                        "see laburnumctl " + pathOf(One) + " --help"),
                 OutputFormat::Table);
  auto Opened = openSession(Arguments);
  if (isError(Opened))
    return print(CommandFailure{errorOf(Opened), std::nullopt},
                 OutputFormat::Table);
  auto Now = takeValue(std::move(Opened));
  return print(One.Run_(Now), Now.Output_);
}

int run(Command const &One, int Count, char const *const *Words) {
  cxxopts::Options Options("laburnumctl " + pathOf(One), One.Summary_);
  Options.custom_help("[options]");
  One.AddOptions_(Options);
  addGlobalOptions(Options);
  try {
    return runParsed(One, Options, Options.parse(Count, Words));
  } catch (cxxopts::exceptions::exception const &Wrong) {
    return print(
        misuse(Wrong.what(), "see laburnumctl " + pathOf(One) + " --help"),
        OutputFormat::Table);
  }
}

bool isNoun(std::vector<Command> const &Commands, std::string const &Word) {
  return std::any_of(Commands.begin(), Commands.end(),
                     [&](Command const &One) { return One.Noun_ == Word; });
}

int runWords(int Count, char const *const *Words) {
  auto const Commands = allCommands();
  std::string const Noun = Count > 1 ? Words[1] : "--help";
  std::string const Verb = Count > 2 ? Words[2] : "--help";
  for (auto const &One : Commands) {
    if (One.Noun_ != Noun || (!One.Verb_.empty() && One.Verb_ != Verb))
      continue;
    // The last word of the command stands where the program's name would.
    auto const Used = One.Verb_.empty() ? 1 : 2;
    return run(One, Count - Used, Words + Used);
  }
  if (Noun == "--help" || Noun == "help") {
    std::cout << programHelp(Commands, "");
    return 0;
  }
  if (!isNoun(Commands, Noun))
    return print(misuse("there is no command " + Noun,
                        "name the command first; see laburnumctl --help"),
                 OutputFormat::Table);
  if (Verb == "--help") {
    std::cout << programHelp(Commands, Noun);
    return 0;
  }
  return print(misuse("there is no command " + Noun + " " + Verb,
                      "see laburnumctl " + Noun + " --help"),
               OutputFormat::Table);
}

} // namespace

int main(int Count, char **Words) {
  try {
    return runWords(Count, Words);
  } catch (std::exception const &Failure) {
    std::cerr << "internal: " << Failure.what() << "\n";
    return exitCodeOf(ErrorKind::Internal);
  }
}
