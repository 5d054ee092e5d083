// One of four instances is stopped and starts again, while some streams end
// whole shortly before their clients' deadline.

#include "../standins-2/StreamCase.h"

#include <csignal>

using namespace review;

namespace {

constexpr double FirstEventMs = 240;
constexpr double PauseMs = 170;
constexpr int Events = 3;
constexpr int Every = 10;
constexpr double LongPace = 4; ///< One stream in 10 takes 2.32 s.

bool serve(Runner &Self, Message const &Asked, Connection &To, Runs &Seen) {
  static std::atomic<int> Streams = 0;
  auto const &Id = Asked.Fields_.at("x-attempt-id");
  Seen.begin(Id, Self.id());
  auto const Pace = ++Streams % Every == 0 ? LongPace : 1.0;
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
  Case.EndAtMs_ = 16000;
  Case.Load_ = "one stream in 10 takes 2.32 s, the others 0.58 s";
  Case.Signals_ = {{0, SIGTERM, 6000}};
  Case.Serve_ = serve;
  return play(Case, Into);
}
