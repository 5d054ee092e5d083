#include "Session.h"

#include <cstdlib>
#include <fstream>

namespace laburnum {

namespace {

constexpr char const *ServerVariable = "LABURNUM_SERVER";
constexpr char const *KeyVariable = "LABURNUM_OPERATOR_KEY";
constexpr char const *DefaultServer = "127.0.0.1:8081";

std::string environment(char const *Name) {
  auto const *Value = std::getenv(Name);
  return Value == nullptr ? "" : Value;
}

std::string serverOf(cxxopts::ParseResult const &Arguments) {
  if (Arguments.count("server") > 0)
    return Arguments["server"].as<std::string>();
  auto const FromEnvironment = environment(ServerVariable);
  return FromEnvironment.empty() ? DefaultServer : FromEnvironment;
}

Result<std::string> keyOf(cxxopts::ParseResult const &Arguments) {
  if (Arguments.count("key") > 0)
    return Arguments["key"].as<std::string>();
  if (Arguments.count("key-file") > 0)
    return readKeyFile(Arguments["key-file"].as<std::string>());
  auto const Key = environment(KeyVariable);
  if (Key.empty())
    return Error{ErrorKind::Unauthenticated, "there is no operator's key",
                 std::string("give --key-file or --key, or set ") +
                     KeyVariable};
  return Key;
}

Result<OutputFormat> outputOf(cxxopts::ParseResult const &Arguments) {
  auto const Name = Arguments["output"].as<std::string>();
  if (Name == "table")
    return OutputFormat::Table;
  if (Name == "json")
    return OutputFormat::Json;
  return Error{ErrorKind::InvalidArgument, "--output has a value not allowed",
               "give table or json"};
}

} // namespace

std::vector<std::string> Session::texts(std::string const &Option) const {
  std::vector<std::string> Parts;
  for (auto const &Part : Arguments_[Option].as<std::vector<std::string>>())
    if (!Part.empty())
      Parts.push_back(Part);
  return Parts;
}

void addGlobalOptions(cxxopts::Options &Options) {
  auto const Text = [] { return cxxopts::value<std::string>(); };
  Options.add_options("Global")(
      "server", "entry instance to call (LABURNUM_SERVER, or 127.0.0.1:8081)",
      Text(), "HOST:PORT")("key", "operator's key (LABURNUM_OPERATOR_KEY)",
                           Text(), "KEY")(
      "key-file", "file whose first line is the key", Text(), "FILE")(
      "output", "table or json", Text()->default_value("table"), "FORMAT")(
      "timeout-ms", "timeout of a call",
      cxxopts::value<DecimalInteger<std::uint32_t>>()->default_value("10000"),
      "N")("help", "show this help");
}

Result<Session> openSession(cxxopts::ParseResult const &Arguments) {
  auto const Output = outputOf(Arguments);
  if (isError(Output))
    return errorOf(Output);
  auto const Key = keyOf(Arguments);
  if (isError(Key))
    return errorOf(Key);
  std::chrono::milliseconds const Timeout(
      Arguments["timeout-ms"].as<DecimalInteger<std::uint32_t>>().Value_);
  return Session{Arguments, valueOf(Output),
                 OperatorClient({serverOf(Arguments), valueOf(Key), Timeout})};
}

Result<std::string> readKeyFile(std::string const &Path) {
  std::ifstream File(Path);
  std::string Key;
  if (!File || !std::getline(File, Key) || Key.empty())
    return Error{ErrorKind::InvalidArgument, "no key can be read from " + Path,
                 "check the path, the permissions and the first line"};
  if (Key.back() == '\r')
    Key.pop_back();
  return Key;
}

} // namespace laburnum
