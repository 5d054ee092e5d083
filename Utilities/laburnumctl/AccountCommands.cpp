#include "Change.h"
#include "ObjectCommands.h"

namespace laburnum {

namespace {

KindNames const Names{ObjectKind::Account, "account", "name", "stalls"};

void addOptions(cxxopts::Options &Options) {
  auto const Text = [] { return cxxopts::value<std::string>(); };
  auto const Number = [] { return cxxopts::value<double>(); };
  auto Add = Options.add_options("account");
  Add("name", "the account's name", Text(), "NAME");
  Add("account-key-file", "file whose first line is the account's new key",
      Text(), "FILE");
  Add("account-key", "new key, at least 24 characters; default: unchanged",
      Text(), "KEY");
  Add("requests-per-second", "over all entry instances", Number(), "X");
  Add("tokens-per-second", "requested generated tokens", Number(), "X");
  Add("concurrent-requests", "in progress at once",
      cxxopts::value<DecimalInteger<std::uint32_t>>(), "N");
  Add("worth", "of one completed request", Number(), "X");
  Add("services", "what it may use; empty: all",
      cxxopts::value<std::vector<std::string>>(), "NAMES");
  addChangeOptions(Options);
}

AccountInput inputFrom(std::optional<ObjectView> const &Current,
                       std::string const &Name) {
  AccountInput Value;
  Value.Name_ = AccountName(Name);
  if (!Current)
    return Value;
  auto const &CurrentAccount = std::get<ClientAccount>(Current->Value_);
  Value.Limits_ = CurrentAccount.Limits_;
  Value.Worth_ = CurrentAccount.Worth_;
  Value.Services_ = CurrentAccount.Services_;
  return Value;
}

std::optional<Error> readKey(Session const &Context, AccountInput &Value) {
  if (Context.has("account-key"))
    Value.Key_ = Context.text("account-key");
  if (!Context.has("account-key-file"))
    return std::nullopt;
  auto const Key = readKeyFile(Context.text("account-key-file"));
  if (isError(Key))
    return errorOf(Key);
  Value.Key_ = valueOf(Key);
  return std::nullopt;
}

std::optional<Error> readOptions(Session const &Context, AccountInput &Value) {
  Context.read("requests-per-second", Value.Limits_.RequestsPerSecond_);
  Context.read("tokens-per-second", Value.Limits_.TokensPerSecond_);
  Context.read("concurrent-requests", Value.Limits_.ConcurrentRequests_);
  Context.read("worth", Value.Worth_);
  if (Context.has("services")) {
    Value.Services_.clear();
    for (auto const &Name : Context.texts("services"))
      Value.Services_.emplace_back(Name);
  }
  return readKey(Context, Value);
}

CommandOutcome apply(Session &Context, ObjectName const &Name) {
  auto const Current = findObject(Context, Name);
  if (isError(Current))
    return CommandFailure{errorOf(Current), std::nullopt};
  auto Value = inputFrom(valueOf(Current), Name.Name_);
  if (auto const Failure = readOptions(Context, Value))
    return CommandFailure{*Failure, std::nullopt};
  return sendChange(Context, Name, valueOf(Current),
                    [&](OperatorChange const &Change) {
                      return Context.Client_.applyAccount(Change, Value);
                    });
}

} // namespace

std::vector<Command> accountCommands() {
  std::vector<Command> All = {
      {"account",
       "apply",
       "create a client account, or change the given fields of one",
       {"account apply --name stalls --account-key-file stalls.key "
        "--requests-per-second 50",
        "account apply --name stalls --services entry-desk,dossier-writer"},
       addOptions,
       [](Session &Context) {
         return runWithName(Context, Names, [&](ObjectName const &Name) {
           return apply(Context, Name);
         });
       }}};
  auto const Common = commonCommands(Names);
  All.insert(All.end(), Common.begin(), Common.end());
  return All;
}

} // namespace laburnum
