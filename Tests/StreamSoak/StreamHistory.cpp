#include "StreamHistory.h"

#include <EntryProcess/VersionedFleet.h>

#include <iomanip>
#include <sstream>

namespace laburnum::stream_soak {

namespace {

std::string timeOf(WallTime Time) {
  auto const Milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Time.time_since_epoch())
          .count();
  return std::to_string(Milliseconds);
}

} // namespace

StreamHistory::StreamHistory()
    : StreamHistory(entry_process::VersionedFleet::StreamLength) {}

void StreamHistory::add(StreamTry Try) {
  bool IsFirst = true;
  for (auto const &Event : Try.Answer_.Events_) {
    if (FirstAttempt_.empty())
      FirstAttempt_ = Try.AttemptId_;
    check(Event, IsFirst);
    IsFirst = false;
  }
  if (Try.Answer_.IsComplete_ && Last_ < Length_ &&
      !Faults_.areUnreadable(Run_, Last_ + 1, Length_ + 1))
    Violations_.insert(Faults_.ShownWhole_.contains(Run_)
                           ? "early end shown as whole by the server"
                           : "early end");
  Tries_.push_back(std::move(Try));
}

void StreamHistory::check(StreamEvent const &Event, bool IsFirstOfTry) {
  std::string const Where = IsFirstOfTry ? " over tries" : " in an answer";
  std::istringstream Words(Event.Data_);
  std::string Version;
  std::uint64_t Start = 0;
  std::string Run;
  Words >> Version >> Start >> Run;
  if (Event.Id_ <= Last_)
    Violations_.insert("repeat" + Where);
  if (Event.Id_ > Last_ + 1)
    checkGap(Last_ + 1, Event.Id_, Run, Where);
  if (!Version_.empty() && Version != Version_)
    Violations_.insert((Version.front() == Version_.front() ? "two versions"
                                                            : "two services") +
                       Where);
  // A server's piece has to begin after the last event that the client has.
  if (Run != Run_ && (Start >= Event.Id_ ||
                      (!Faults_.areUnreadable(Run, Start + 1, Event.Id_) &&
                       !Faults_.areLeftOut(Run, Start + 1, Event.Id_))))
    Violations_.insert("joined runs" + Where);
  Last_ = Event.Id_;
  Version_ = Version;
  Run_ = Run;
}

void StreamHistory::checkGap(std::uint64_t Begin, std::uint64_t End,
                             std::string const &Run, std::string const &Where) {
  if (Faults_.areUnreadable(Run, Begin, End) ||
      Faults_.areUnreadable(Run_, Begin, End))
    return;
  Violations_.insert(Faults_.areLeftOut(Run, Begin, End)
                         ? "gap left by the server"
                         : "gap" + Where);
}

std::string StreamHistory::describe() const {
  std::ostringstream Text;
  for (auto const &Try : Tries_) {
    Text << "  try at instance " << Try.Instance_ + 1 << " from "
         << timeOf(Try.BegunAt_) << " to " << timeOf(Try.EndedAt_)
         << " attempt=" << Try.AttemptId_ << " resumes=" << Try.Resumes_
         << " after=" << Try.LastEventId_ << " status=" << Try.Answer_.Status_
         << (Try.Answer_.IsComplete_ ? " complete" : "") << " events:";
    for (auto const &Event : Try.Answer_.Events_)
      Text << ' ' << Event.Id_ << '[' << Event.Data_ << ']';
    Text << '\n';
  }
  return Text.str();
}

} // namespace laburnum::stream_soak
