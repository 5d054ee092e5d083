// Some answers of three runners have no length for five seconds. They are whole
// and end with their connection, which the runner closes in order.

#include "../standins-2/StreamCase.h"

using namespace review;

namespace {

constexpr double FirstEventMs = 240;
constexpr double PauseMs = 170;
constexpr int Events = 3;
constexpr int Every = 20; ///< One answer in 20: 0.05, the dose of garble.
constexpr double TroubleAtMs = 6000;
constexpr double TroubleMs = 5000;

/// Three runners of seven: less than half of them.
bool isAffected(Runner const &Self) {
  return Self.id() == "i-0" || Self.id() == "i-1" || Self.id() == "i-2";
}

bool serve(Runner &Self, Message const &Asked, Connection &To, Runs &Seen,
           double SinceMs) {
  static std::atomic<int> Answers = 0;
  auto const &Id = Asked.Fields_.at("x-attempt-id");
  Seen.begin(Id, Self.id());
  bool const HasNoLength =
      hasTrouble() && isAffected(Self) && SinceMs >= TroubleAtMs &&
      SinceMs < TroubleAtMs + TroubleMs && ++Answers % Every == 0;
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
  Case.Trouble_ = "one answer in 20 of the runners i-0, i-1 and i-2 has no "
                  "length from 6 s to 11 s";
  Case.Serve_ = serve;
  return play(Case, Into);
}
