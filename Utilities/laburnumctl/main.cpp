// The operators' command line: selects the command, parses its options, runs it
// and prints its report.

#include "Command.h"
#include "Help.h"

#include <algorithm>
#include <iostream>

namespace {

using namespace laburnum;

CommandFailure usageError(std::string Message, std::string Remedy) {
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

int runParsed(Command const &Entry, cxxopts::Options const &Options,
              cxxopts::ParseResult const &Arguments) {
  if (Arguments.count("help") > 0) {
    std::cout << commandHelp(Entry, Options);
    return 0;
  }
  if (!Arguments.unmatched().empty())
    return print(usageError("unexpected word: " + Arguments.unmatched().front(),
                            "see laburnumctl " + pathOf(Entry) + " --help"),
                 OutputFormat::Table);
  auto Opened = openSession(Arguments);
  if (isError(Opened))
    return print(CommandFailure{errorOf(Opened), std::nullopt},
                 OutputFormat::Table);
  auto Context = takeValue(std::move(Opened));
  return print(Entry.Run_(Context), Context.Output_);
}

int run(Command const &Entry, int Count, char const *const *Words) {
  cxxopts::Options Options("laburnumctl " + pathOf(Entry), Entry.Summary_);
  Options.custom_help("[options]");
  Entry.AddOptions_(Options);
  addGlobalOptions(Options);
  try {
    return runParsed(Entry, Options, Options.parse(Count, Words));
  } catch (cxxopts::exceptions::exception const &Exception) {
    return print(usageError(Exception.what(),
                            "see laburnumctl " + pathOf(Entry) + " --help"),
                 OutputFormat::Table);
  }
}

bool isNoun(std::vector<Command> const &Commands, std::string const &Word) {
  return std::any_of(Commands.begin(), Commands.end(),
                     [&](Command const &Entry) { return Entry.Noun_ == Word; });
}

int dispatch(int Count, char const *const *Words) {
  auto const Commands = allCommands();
  std::string const Noun = Count > 1 ? Words[1] : "--help";
  std::string const Verb = Count > 2 ? Words[2] : "--help";
  for (auto const &Entry : Commands) {
    if (Entry.Noun_ != Noun || (!Entry.Verb_.empty() && Entry.Verb_ != Verb))
      continue;
    // The option parser takes the last word of the command for the program
    // name.
    auto const Consumed = Entry.Verb_.empty() ? 1 : 2;
    return run(Entry, Count - Consumed, Words + Consumed);
  }
  if (Noun == "--help" || Noun == "help") {
    std::cout << programHelp(Commands, "");
    return 0;
  }
  if (!isNoun(Commands, Noun))
    return print(usageError("there is no command " + Noun,
                            "name the command first; see laburnumctl --help"),
                 OutputFormat::Table);
  if (Verb == "--help") {
    std::cout << programHelp(Commands, Noun);
    return 0;
  }
  return print(usageError("there is no command " + Noun + " " + Verb,
                          "see laburnumctl " + Noun + " --help"),
               OutputFormat::Table);
}

} // namespace

int main(int Count, char **Words) {
  try {
    return dispatch(Count, Words);
  } catch (std::exception const &Failure) {
    std::cerr << "internal: " << Failure.what() << "\n";
    return exitCodeOf(ErrorKind::Internal);
  }
}
