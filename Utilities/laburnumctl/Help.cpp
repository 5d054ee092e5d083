#include "Help.h"

namespace laburnum {

namespace {

constexpr std::size_t PathWidth = 20;

std::string examplesOf(Command const &Entry) {
  std::string Text;
  for (auto const &Example : Entry.Examples_)
    Text += "  laburnumctl " + Example + "\n";
  return Text;
}

} // namespace

std::string programHelp(std::vector<Command> const &Commands,
                        std::string const &Noun) {
  std::string Text = "usage: laburnumctl COMMAND [options]\n\nCommands:\n";
  std::string Examples;
  for (auto const &Entry : Commands) {
    if (!Noun.empty() && Entry.Noun_ != Noun)
      continue;
    auto Line = "  " + pathOf(Entry);
    Line.resize(2 + PathWidth, ' ');
    Text += Line + Entry.Summary_ + "\n";
    Examples += examplesOf(Entry);
  }
  Text += "\nExamples:\n" + Examples;
  Text += "\nEvery command has --help, --server, --key-file, --output and "
          "--timeout-ms.\n\n";
  return Text + exitCodeHelp();
}

std::string commandHelp(Command const &Entry, cxxopts::Options const &Options) {
  return Options.help() + "\nExamples:\n" + examplesOf(Entry) + "\n" +
         exitCodeHelp();
}

} // namespace laburnum
