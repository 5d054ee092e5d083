#include "Change.h"
#include "ObjectCommands.h"

namespace laburnum {

namespace {

KindWords const Words{ObjectKind::Account, "account", "name", "stalls"};

void addOptions(cxxopts::Options &Options) {
  auto const Text = [] { return cxxopts::value<std::string>(); };
  auto const Number = [] { return cxxopts::value<double>(); };
  auto Add = Options.add_options("account");
  Add("name", "the account's name", Text(), "NAME");
  Add("account-key-file", "file whose first line is the account's new key",
      Text(), "FILE");
  Add("account-key", "new key, at least 24 characters; none keeps the present",
      Text(), "KEY");
  Add("requests-per-second", "over all entry instances", Number(), "X");
  Add("tokens-per-second", "generated tokens asked for", Number(), "X");
  Add("concurrent-requests", "in progress at once",
      cxxopts::value<WholeNumber<std::uint32_t>>(), "N");
  Add("worth", "of one completed request", Number(), "X");
  Add("services", "what it may use; empty: all",
      cxxopts::value<std::vector<std::string>>(), "NAMES");
  addChangeOptions(Options);
}

AccountInput inputFrom(std::optional<ObjectView> const &Present,
                       std::string const &Name) {
  AccountInput Value;
  Value.Name_ = AccountName(Name);
  if (!Present)
    return Value;
  auto const &Held = std::get<ClientAccount>(Present->Value_);
  Value.Limits_ = Held.Limits_;
  Value.Worth_ = Held.Worth_;
  Value.Services_ = Held.Services_;
  return Value;
}

std::optional<Error> readKey(Session const &Now, AccountInput &Value) {
  if (Now.has("account-key"))
    Value.Key_ = Now.text("account-key");
  if (!Now.has("account-key-file"))
    return std::nullopt;
  auto const Key = readKeyFile(Now.text("account-key-file"));
  if (isError(Key))
    return errorOf(Key);
  Value.Key_ = valueOf(Key);
  return std::nullopt;
}

std::optional<Error> readOptions(Session const &Now, AccountInput &Value) {
  Now.read("requests-per-second", Value.Limits_.RequestsPerSecond_);
  Now.read("tokens-per-second", Value.Limits_.TokensPerSecond_);
  Now.read("concurrent-requests", Value.Limits_.ConcurrentRequests_);
  Now.read("worth", Value.Worth_);
  if (Now.has("services")) {
    Value.Services_.clear();
    for (auto const &Name : Now.texts("services"))
      Value.Services_.emplace_back(Name);
  }
  return readKey(Now, Value);
}

CommandOutcome apply(Session &Now, ObjectName const &Name) {
  auto const Present = lookUp(Now, Name);
  if (isError(Present))
    return CommandFailure{errorOf(Present), std::nullopt};
  auto Value = inputFrom(valueOf(Present), Name.Name_);
  if (auto const Failure = readOptions(Now, Value))
    return CommandFailure{*Failure, std::nullopt};
  return sendChange(Now, Name, valueOf(Present),
                    [&](OperatorChange const &Change) {
                      return Now.Client_.applyAccount(Change, Value);
                    });
}

} // namespace

std::vector<Command> accountCommands() {
  std::vector<Command> All = {
      {"account",
       "apply",
       "make a client account, or change the given fields of one",
       {"account apply --name stalls --account-key-file stalls.key "
        "--requests-per-second 50",
        "account apply --name stalls --services entry-desk,dossier-writer"},
       addOptions,
       [](Session &Now) {
         return withName(Now, Words, [&](ObjectName const &Name) {
           return apply(Now, Name);
         });
       }}};
  auto const Common = commonCommands(Words);
  All.insert(All.end(), Common.begin(), Common.end());
  return All;
}

} // namespace laburnum
