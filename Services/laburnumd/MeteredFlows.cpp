#include "MeteredFlows.h"

namespace laburnum {

namespace {

double millisecondsSince(TimePoint Start) {
  return std::chrono::duration<double, std::milli>(readClock() - Start).count();
}

} // namespace

FlowReport MeteredFlows::run(CallerRequest const &Request,
                             TokenSink const &Sink) {
  auto const Start = readClock();
  bool IsFirst = true;
  auto const Counting = [&](std::uint32_t Offset, std::string const &Text) {
    if (IsFirst)
      Metrics_.FirstTokenLatency_.record(millisecondsSince(Start));
    IsFirst = false;
    Metrics_.Tokens_.add();
    return Sink(Offset, Text);
  };
  auto Report = FlowRunner(Resources_, Request, Counting).run();
  Metrics_.Attempts_.add(Report.Counts_.Attempts_);
  Metrics_.Retries_.add(Report.Counts_.Retries_);
  Metrics_.Moves_.add(Report.Counts_.Moves_);
  Metrics_.RecomputedTokens_.add(Report.Counts_.RecomputedTokens_);
  Metrics_.TotalLatency_.record(millisecondsSince(Start));
  if (std::holds_alternative<flow::FinishFailed>(Report.End_))
    Metrics_.Failed_.add();
  else
    Metrics_.Completed_.add();
  return Report;
}

} // namespace laburnum
