#include "SentStreams.h"

#include "VersionedFleet.h"

#include <StreamSoak/StreamAnswer.h>

#include <algorithm>
#include <deque>
#include <utility>

namespace laburnum::entry_process {

void SentStreams::send(std::size_t AtOnce) {
  std::vector<Stream> Streams;
  for (std::size_t Each = 0; Each < AtOnce; ++Each)
    Streams.push_back({std::to_string(Sent_++), ""});
  for (std::size_t Try = 0; Try <= TakeUps_ && !Streams.empty(); ++Try) {
    TakenUp_ += Try > 0 ? Streams.size() : 0;
    Streams = play(std::move(Streams), Try);
  }
}

std::vector<SentStreams::Stream> SentStreams::play(std::vector<Stream> Streams,
                                                   std::size_t Try) {
  std::deque<StreamClient> Clients;
  for (auto const &Stream : Streams)
    Clients.emplace_back(
        Servers_.instance(Try == 0 ? 0 : Servers_.instances() - 1),
        Stream.Id_ + '-' + std::to_string(Try), Stream.FirstAttempt_,
        Stream.Events_.empty() ? "" : std::to_string(Stream.Events_.back()),
        Route_);
  std::vector<Stream> Aborted;
  for (std::size_t Index = 0; Index < Streams.size(); ++Index) {
    auto &Stream = Streams[Index];
    Clients[Index].readToEnd();
    auto const Answer = stream_soak::decodeAnswer(Clients[Index].received());
    if (!Answer.Events_.empty() && Stream.FirstAttempt_.empty())
      Stream.FirstAttempt_ = Clients[Index].attemptId();
    for (auto const &Event : Answer.Events_)
      Stream.Events_.push_back(Event.Id_);
    bool const IsOrdered =
        Stream.Events_.size() <= Identifiers_.size() &&
        std::equal(Stream.Events_.begin(), Stream.Events_.end(),
                   Identifiers_.begin());
    if (!IsOrdered) {
      ++Disordered_;
      Faulty_.push_back(Stream.Id_);
    } else if (!Answer.IsComplete_) {
      Aborted.push_back(std::move(Stream));
    } else if (Stream.Events_.size() < Identifiers_.size()) {
      ++EarlyEnds_;
      Faulty_.push_back(Stream.Id_);
    } else {
      ++Complete_;
      CompleteAtOnce_ += Try == 0 ? 1 : 0;
    }
  }
  return Aborted;
}

std::string SentStreams::describe() const {
  return Route_ + ": sent " + std::to_string(Sent_) + ", complete " +
         std::to_string(Complete_) + " (" + std::to_string(CompleteAtOnce_) +
         " without take-up), take-ups " + std::to_string(TakenUp_) +
         ", early ends " + std::to_string(EarlyEnds_) + ", disordered " +
         std::to_string(Disordered_);
}

std::string SentStreams::log() const {
  std::string Log;
  for (std::size_t Number = 0; Number < Servers_.instances(); ++Number)
    for (auto const &Line : Servers_.instance(Number).process().lines())
      for (auto const &Id : Faulty_)
        if (Line.find("=" + Id + '-') != std::string::npos)
          Log += "\ninstance " + std::to_string(Number) + ": " + Line;
  return Log;
}

std::size_t countLines(StreamServers &Servers, std::size_t Number,
                       std::string const &Text) {
  std::size_t Count = 0;
  for (std::size_t Each = 0; Each < Number; ++Each)
    for (auto const &Line : Servers.process("s" + std::to_string(Each)).lines())
      Count += Line == Text ? 1 : 0;
  return Count;
}

} // namespace laburnum::entry_process
