#include "Command.h"
#include "Table.h"

#include <LibAdmin/ViewCodec.h>

#include <ctime>

namespace laburnum {

namespace {

constexpr std::int64_t MillisecondsPerSecond = 1000;

/// The time in UTC as ISO 8601, to the second.
std::string timeText(std::int64_t UnixMilliseconds) {
  constexpr std::size_t Length = 32;
  auto const Seconds =
      static_cast<std::time_t>(UnixMilliseconds / MillisecondsPerSecond);
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  char Text[Length];
  std::strftime(Text, sizeof(Text), "%Y-%m-%dT%H:%M:%SZ", &Parts);
  return Text;
}

Result<AuditQuery> queryOf(Session const &Context) {
  AuditQuery Query;
  Context.read("name", Query.Name_);
  Context.read("limit", Query.Limit_);
  if (!Context.has("kind"))
    return Query;
  auto const Kind = Context.text("kind");
  if (Kind == "service")
    Query.Kind_ = ObjectKind::Service;
  else if (Kind == "account")
    Query.Kind_ = ObjectKind::Account;
  else if (Kind == "backend")
    Query.Kind_ = ObjectKind::Server;
  else
    return Error{ErrorKind::InvalidArgument, "--kind has a value not allowed",
                 "give service, account or backend"};
  return Query;
}

nlohmann::json jsonOf(AuditEntry const &One) {
  return {{"change_id", One.ChangeId_.text()},
          {"operator", One.OperatorName_},
          {"unix_time_ms", One.UnixTimeMilliseconds_},
          {"kind", toString(One.Object_.Kind_)},
          {"name", One.Object_.Name_},
          {"expected_version", One.ExpectedVersion_},
          {"specification", One.Specification_},
          {"action", toString(One.Action_)},
          {"instance", One.Instance_.text()}};
}

CommandOutcome list(Session &Context) {
  auto const Query = queryOf(Context);
  if (isError(Query))
    return CommandFailure{errorOf(Query), std::nullopt};
  auto const Entries = Context.Client_.listAuditTrail(valueOf(Query));
  if (isError(Entries))
    return CommandFailure{errorOf(Entries), std::nullopt};
  Table Rows({"TIME", "OPERATOR", "ACTION", "KIND", "NAME", "EXPECTED",
              "CHANGE-ID", "INSTANCE"});
  auto Json = nlohmann::json::array();
  for (auto const &One : valueOf(Entries)) {
    Rows.add({timeText(One.UnixTimeMilliseconds_), One.OperatorName_,
              toString(One.Action_), toString(One.Object_.Kind_),
              One.Object_.Name_, std::to_string(One.ExpectedVersion_),
              One.ChangeId_.text(), One.Instance_.text()});
    Json.push_back(jsonOf(One));
  }
  return Report{Rows.text(), Json};
}

void addOptions(cxxopts::Options &Options) {
  auto Add = Options.add_options("audit");
  Add("kind", "service, account or backend", cxxopts::value<std::string>(),
      "KIND");
  Add("name", "only changes of this object", cxxopts::value<std::string>(),
      "NAME");
  Add("limit", "maximum number of entries, newest first",
      cxxopts::value<DecimalInteger<std::uint32_t>>(), "N");
}

} // namespace

std::vector<Command> auditCommands() {
  return {{"audit",
           "list",
           "list who changed what and when",
           {"audit list --limit 20", "audit list --kind service --name desk"},
           addOptions,
           list}};
}

} // namespace laburnum
