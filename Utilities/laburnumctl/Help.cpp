#include "Help.h"

namespace laburnum {

namespace {

constexpr std::size_t PathWidth = 20;

std::string examplesOf(Command const &One) {
  std::string Text;
  for (auto const &Example : One.Examples_)
    Text += "  laburnumctl " + Example + "\n";
  return Text;
}

} // namespace

std::string programHelp(std::vector<Command> const &Commands,
                        std::string const &Noun) {
  std::string Text = "usage: laburnumctl COMMAND [options]\n\nCommands:\n";
  std::string Examples;
  for (auto const &One : Commands) {
    if (!Noun.empty() && One.Noun_ != Noun)
      continue;
    auto Line = "  " + pathOf(One);
    Line.resize(2 + PathWidth, ' ');
    Text += Line + One.Summary_ + "\n";
    Examples += examplesOf(One);
  }
  Text += "\nExamples:\n" + Examples;
  Text += "\nEvery command has --help, --server, --key-file, --output and "
          "--timeout-ms.\n\n";
  return Text + exitCodeHelp();
}

std::string commandHelp(Command const &One, cxxopts::Options const &Options) {
  return Options.help() + "\nExamples:\n" + examplesOf(One) + "\n" +
         exitCodeHelp();
}

} // namespace laburnum
