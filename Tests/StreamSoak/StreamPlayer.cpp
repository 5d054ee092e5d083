#include "StreamPlayer.h"

#include <iostream>

namespace laburnum::stream_soak {

namespace {

using entry_process::StreamClient;
using entry_process::VersionedFleet;
using std::chrono::milliseconds;

constexpr int Success = 200;
constexpr std::size_t MostTries = 8;
constexpr std::size_t MostRefusals = 3;
/// After the deadline that the client states.
constexpr std::chrono::seconds TryTime{9};

std::uint64_t below(std::mt19937_64 &Numbers, std::uint64_t End) {
  return std::uniform_int_distribution<std::uint64_t>(0, End - 1)(Numbers);
}

} // namespace

void StreamPlayer::begin(unsigned Clients) {
  for (unsigned Client = 0; Client < Clients; ++Client)
    Threads_.emplace_back([this, Client] { runClient(Client); });
}

void StreamPlayer::end() {
  IsEnding_ = true;
  for (auto &Thread : Threads_)
    Thread.join();
  Threads_.clear();
}

Outcome StreamPlayer::outcome() {
  std::lock_guard const Lock(Mutex_);
  return Outcome_;
}

void StreamPlayer::runClient(unsigned Client) {
  constexpr std::uint64_t SeedStride = 1000;
  Random Numbers(Seed_ * SeedStride + Client);
  for (unsigned Number = 0; !IsEnding_; ++Number)
    playStream("s" + std::to_string(Client) + '-' + std::to_string(Number),
               Numbers);
}

void StreamPlayer::playStream(std::string const &Id, Random &Numbers) {
  constexpr std::uint64_t Namings = 3;
  constexpr std::uint64_t LongestPause = 400;
  auto const Named = static_cast<Naming>(below(Numbers, Namings));
  StreamHistory History;
  bool IsComplete = false;
  std::size_t Refusals = 0;
  while (!IsComplete && History.tries() < MostTries &&
         Refusals < MostRefusals) {
    StreamTry Try;
    Try.Instance_ = below(Numbers, Fleet_.instances());
    Try.AttemptId_ = Id;
    if (Named == Naming::OfEachTry)
      Try.AttemptId_ += '-' + std::to_string(History.tries());
    if (Named != Naming::OneForAll)
      Try.Resumes_ = History.firstAttempt();
    Try.LastEventId_ = History.last();
    Try = request(std::move(Try), Numbers);
    IsComplete = Try.Answer_.IsComplete_;
    auto const Status = Try.Answer_.Status_;
    Refusals += Try.LastEventId_ > 0 && Status != 0 && Status != Success;
    {
      std::lock_guard const Lock(Mutex_);
      if (Try.LastEventId_ > 0) {
        ++Outcome_.TakenUp_;
        Outcome_.GoneOn_ += Status == Success;
        Outcome_.Refused_ += Status != 0 && Status != Success;
      }
    }
    History.add(std::move(Try));
    if (!IsComplete)
      std::this_thread::sleep_for(milliseconds(below(Numbers, LongestPause)));
  }
  count(Id, History, IsComplete);
}

StreamTry StreamPlayer::request(StreamTry Try, Random &Numbers) const {
  constexpr milliseconds Wait{50};
  constexpr std::uint64_t SlowWait = 600;
  // Two of five tries are dropped by the client.
  bool const IsDropped = below(Numbers, 5) < 2;
  auto const DropAfter = 1 + below(Numbers, VersionedFleet::StreamLength - 1);
  Try.BegunAt_ = std::chrono::system_clock::now();
  auto const End = readClock() + TryTime;
  try {
    StreamClient Client(
        Fleet_.instance(Try.Instance_), Try.AttemptId_, Try.Resumes_,
        Try.LastEventId_ > 0 ? std::to_string(Try.LastEventId_) : "");
    while (Client.readWithin(Wait) && readClock() < End) {
      Try.Answer_ = decodeAnswer(Client.received());
      if (Try.Answer_.IsComplete_ ||
          (IsDropped && Try.Answer_.Events_.size() >= DropAfter))
        break;
      if (Reading_ == Reading::Slow)
        std::this_thread::sleep_for(milliseconds(below(Numbers, SlowWait)));
    }
    Try.Answer_ = decodeAnswer(Client.received());
    Client.reset();
  } catch (std::exception const &) {
    // The instance is away, or reset the connection.
  }
  Try.EndedAt_ = std::chrono::system_clock::now();
  return Try;
}

void StreamPlayer::count(std::string const &Id, StreamHistory const &History,
                         bool IsComplete) {
  std::lock_guard const Lock(Mutex_);
  ++Outcome_.Streams_;
  Outcome_.Complete_ += IsComplete ? 1 : 0;
  if (History.violations().empty())
    return;
  ++Outcome_.Violating_;
  std::cout << "violation: stream " << Id << ':';
  for (auto const &Violation : History.violations()) {
    ++Outcome_.Violations_[Violation];
    std::cout << ' ' << Violation << ';';
  }
  std::cout << " tries " << History.tries() << '\n'
            << History.describe() << std::flush;
}

} // namespace laburnum::stream_soak
