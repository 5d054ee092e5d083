#include "Report.h"

#include <array>

namespace laburnum {

namespace {

struct KindExitCode {
  ErrorKind Kind_;
  int Code_;
  char const *Meaning_;
};

constexpr std::array<KindExitCode, 10> Codes = {{
    {ErrorKind::InvalidArgument, 2, "an option or value is wrong"},
    {ErrorKind::Unauthenticated, 3, "no operator's key, or a wrong one"},
    {ErrorKind::PermissionDenied, 4, "not allowed with this key"},
    {ErrorKind::NotFound, 5, "no such object"},
    {ErrorKind::Conflict, 6, "another change was applied first"},
    {ErrorKind::ResourceExhausted, 7, "a limit is exceeded; try later"},
    {ErrorKind::Unavailable, 8, "not reached; nothing took effect"},
    {ErrorKind::OutcomeUnknown, 9, "send again with the same --change-id"},
    {ErrorKind::DeadlineExceeded, 10, "no answer within --timeout-ms"},
    {ErrorKind::Internal, 11, "an internal error"},
}};

std::string codeLine(int Code, std::string const &Name,
                     std::string const &Meaning) {
  constexpr std::size_t CodeWidth = 4;
  constexpr std::size_t NameWidth = 20;
  auto Line = "  " + std::to_string(Code);
  Line.resize(2 + CodeWidth, ' ');
  Line += Name;
  Line.resize(2 + CodeWidth + NameWidth, ' ');
  return Line + Meaning + "\n";
}

} // namespace

int exitCodeOf(ErrorKind Kind) {
  for (auto const &One : Codes)
    if (One.Kind_ == Kind)
      return One.Code_;
  return 1;
}

nlohmann::json toJson(CommandFailure const &Failure) {
  nlohmann::json Json = {{"kind", toString(Failure.Error_.Kind_)},
                         {"message", Failure.Error_.Message_},
                         {"remedy", Failure.Error_.Remedy_}};
  if (Failure.CurrentVersion_)
    Json["present_version"] = *Failure.CurrentVersion_;
  return {{"error", Json}};
}

std::string exitCodeHelp() {
  auto Text = "Exit codes:\n" + codeLine(0, "ok", "done");
  for (auto const &One : Codes)
    Text += codeLine(One.Code_, toString(One.Kind_), One.Meaning_);
  return Text +
         codeLine(AttentionExitCode, "attention", "status reports findings");
}

} // namespace laburnum
