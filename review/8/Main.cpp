// A runner works four times as long for five seconds. Its streams end whole
// before their clients' deadline.

#include "../standins-2/StreamCase.h"

using namespace review;

namespace {

constexpr double FirstEventMs = 240;
constexpr double PauseMs = 170;
constexpr int Events = 3;
constexpr double Slowdown = 4; ///< The dose of srv_slow.
constexpr double TroubleAtMs = 6000;
constexpr double TroubleMs = 5000;

/// One runner of seven is slow: 0.15 of them.
bool serve(Runner &Self, Message const &Asked, Connection &To, Runs &Seen,
           double SinceMs) {
  auto const &Id = Asked.Fields_.at("x-attempt-id");
  Seen.begin(Id, Self.id());
  bool const IsSlow = hasTrouble() && Self.id() == "i-0" &&
                      SinceMs >= TroubleAtMs &&
                      SinceMs < TroubleAtMs + TroubleMs;
  auto const Pace = IsSlow ? Slowdown : 1.0;
  sleepMs(FirstEventMs * Pace);
  if (!To.send(Self.head(Asked) + "Content-Type: text/event-stream\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n"))
    return false;
  for (int Event = 1; Event <= Events; ++Event) {
    if (Event > 1)
      sleepMs(PauseMs * Pace);
    if (!To.send(chunk(eventText(Event))))
      return false;
  }
  if (!To.send(chunk("")))
    return false;
  Seen.end(Id, "chunked");
  return true;
}

} // namespace

int main(int Count, char **Arguments) {
  limitRun();
  Record Into(Count > 1 ? Arguments[1] : "record.txt");
  StreamCase Case;
  Case.Trouble_ = "runner i-0 works 4 times as long from 6 s to 11 s";
  Case.Serve_ = serve;
  return play(Case, Into);
}
