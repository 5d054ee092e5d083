// Four instances get SIGHUP in turn, while some answers of three runners have
// no length. They are whole and end with their connection, which the runner
// closes in order.

#include "../standins-2/StreamCase.h"

#include <csignal>

using namespace review;

namespace {

constexpr double FirstEventMs = 240;
constexpr double PauseMs = 170;
constexpr int Events = 3;
constexpr int Every = 20;

/// Three runners of seven.
bool isAffected(Runner const &Self) {
  return Self.id() == "i-0" || Self.id() == "i-1" || Self.id() == "i-2";
}

bool serve(Runner &Self, Message const &Asked, Connection &To, Runs &Seen) {
  static std::atomic<int> Answers = 0;
  auto const &Id = Asked.Fields_.at("x-attempt-id");
  Seen.begin(Id, Self.id());
  bool const HasNoLength = isAffected(Self) && ++Answers % Every == 0;
  sleepMs(FirstEventMs);
  std::string const Framing =
      HasNoLength ? "Connection: close" : "Transfer-Encoding: chunked";
  if (!To.send(Self.head(Asked) + "Content-Type: text/event-stream\r\n" +
               Framing + "\r\n\r\n"))
    return false;
  for (int Event = 1; Event <= Events; ++Event) {
    if (Event > 1)
      sleepMs(PauseMs);
    auto const Text = eventText(Event);
    if (!To.send(HasNoLength ? Text : chunk(Text)))
      return false;
  }
  if (!HasNoLength && !To.send(chunk("")))
    return false;
  Seen.end(Id, HasNoLength ? "no length" : "chunked");
  return !HasNoLength;
}

} // namespace

int main(int Count, char **Arguments) {
  limitRun();
  Record Into(Count > 1 ? Arguments[1] : "record.txt");
  StreamCase Case;
  Case.EndAtMs_ = 19000;
  Case.Load_ = "one answer in 20 of the runners i-0, i-1 and i-2 has no length";
  Case.Signals_ = {{0, SIGHUP, 6000},
                   {1, SIGHUP, 9000},
                   {2, SIGHUP, 12000},
                   {3, SIGHUP, 15000}};
  Case.Serve_ = serve;
  return play(Case, Into);
}
