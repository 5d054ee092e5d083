#include "ShapePlayer.h"

#include <algorithm>
#include <cmath>

namespace laburnum::shape_soak {

namespace {

using entry_process::Fields;
using std::chrono::milliseconds;
using stream_soak::decodeBody;
using stream_soak::decodeFramedAnswer;
using stream_soak::StreamHistory;
using stream_soak::StreamTry;

constexpr int NoAnswer = 0;
constexpr int Success = 200;
constexpr unsigned MostWaiting = 400;
constexpr milliseconds LongestGap{4000};
/// What arrives just after the deadline was sent before it.
constexpr milliseconds LateTime{200};

/// Whether the answer says that the request has not run.
bool isPromise(int Status) {
  return Status == 503 || Status == 429 || Status == 408 || Status == 421;
}

milliseconds timeUntil(TimePoint End) {
  return std::chrono::duration_cast<milliseconds>(End - readClock());
}

ShapeClient::Keeps chooseKeeping(std::mt19937_64 &Numbers) {
  return Numbers() % 2 == 0 ? ShapeClient::Keeps::Yes : ShapeClient::Keeps::No;
}

} // namespace

ShapePlayer::ShapePlayer(ShapeFleet &Fleet, std::uint64_t Seed,
                         enum Patience Patience)
    : Fleet_(Fleet), Seed_(Seed), Patience_(Patience) {}

void ShapePlayer::begin() {
  auto const &Shape = Fleet_.shape();
  Arrivals_.emplace_back([this, &Shape] {
    arrive(Shape.Streams_ * Shape.Rate_, "s", &ShapePlayer::playStream);
  });
  Arrivals_.emplace_back([this, &Shape] {
    arrive(Shape.Once_ * Shape.Rate_, "o", &ShapePlayer::playOnce);
  });
  Arrivals_.emplace_back([this, &Shape] {
    arrive(Shape.Plain_ * Shape.Rate_, "p", &ShapePlayer::playPlain);
  });
}

void ShapePlayer::end() {
  IsEnding_ = true;
  for (auto &Thread : Arrivals_)
    Thread.join();
  Arrivals_.clear();
}

void ShapePlayer::arrive(double PerSecond, std::string Name, Play Play) {
  if (PerSecond <= 0)
    return;
  Random Numbers(std::hash<std::string>{}(Name) + Seed_);
  std::exponential_distribution<double> Wait(PerSecond);
  std::list<std::thread> Clients;
  auto Next = readClock();
  for (std::uint64_t Number = 1; !IsEnding_; ++Number) {
    Next += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Wait(Numbers)));
    std::this_thread::sleep_until(Next);
    auto const Drawn = Numbers();
    if (Waiting_ >= MostWaiting) {
      ++Skipped_;
      continue;
    }
    ++Waiting_;
    Clients.emplace_back(
        [this, Play, Drawn,
         Id = Name + std::to_string(Seed_) + 'n' + std::to_string(Number)] {
          Random OfClient(Drawn);
          (this->*Play)(Id, OfClient);
          --Waiting_;
        });
  }
  for (auto &Client : Clients)
    Client.join();
}

milliseconds ShapePlayer::deadline(milliseconds Usual,
                                   std::chrono::microseconds Length,
                                   Random &Numbers) const {
  constexpr std::uint64_t Parts = 4;
  constexpr std::uint64_t Percents = 400;
  if (Patience_ == Patience::Steady || Numbers() % Parts > 0)
    return Usual;
  return std::chrono::duration_cast<milliseconds>(
      Length * (50 + Numbers() % Percents) / 100);
}

std::uint64_t ShapePlayer::drawLength(std::uint64_t Mean, Random &Numbers) {
  if (Numbers() % 2 == 0)
    return Mean;
  std::exponential_distribution<double> Length(1.0 / static_cast<double>(Mean));
  return std::clamp<std::uint64_t>(std::llround(Length(Numbers)), 1, 3 * Mean);
}

std::unique_ptr<ShapeClient>
ShapePlayer::send(std::size_t Instance, std::string const &Path,
                  Fields const &Sent, std::size_t BodyBytes, Keeps Keeping) {
  auto const &Address = Fleet_.address(Instance);
  std::unique_ptr<ShapeClient> Client;
  if (Keeping == Keeps::Yes)
    Client = Kept_.take(Address);
  if (!Client)
    Client = std::make_unique<ShapeClient>(Address);
  Client->send(Path, Sent, BodyBytes, Keeping);
  return Client;
}

StreamTry ShapePlayer::request(StreamTry Try, std::string const &Path,
                               std::size_t BodyBytes, Keeps Keeping,
                               TimePoint Deadline) {
  Fields Sent = {
      {"X-Attempt-Id", Try.AttemptId_},
      {"X-Deadline-Ms", std::to_string(timeUntil(Deadline).count())}};
  if (!Try.Resumes_.empty())
    Sent.emplace_back("Resumes", Try.Resumes_);
  if (Try.LastEventId_ > 0)
    Sent.emplace_back("Last-Event-Id", std::to_string(Try.LastEventId_));
  Try.BegunAt_ = std::chrono::system_clock::now();
  try {
    auto Client = send(Try.Instance_, Path, Sent, BodyBytes, Keeping);
    std::size_t Events = 0;
    auto GiveUpAt = readClock() + LongestGap;
    while (!Try.Answer_.IsComplete_) {
      auto const Left = timeUntil(std::min(GiveUpAt, Deadline + LateTime));
      if (Left.count() <= 0 || !Client->readWithin(Left))
        break;
      Try.Answer_ = decodeFramedAnswer(Client->received(), Client->isClosed());
      if (Try.Answer_.Events_.size() > Events)
        GiveUpAt = readClock() + LongestGap;
      Events = Try.Answer_.Events_.size();
      if (Client->hasEnded())
        break;
    }
    if (Try.Answer_.IsComplete_ && Keeping == Keeps::Yes && !Client->hasEnded())
      Kept_.put(Fleet_.address(Try.Instance_), std::move(Client));
  } catch (std::exception const &) {
    // The instance is away.
    Try.IsUnsent_ = true;
  }
  Try.EndedAt_ = std::chrono::system_clock::now();
  Checker_.countTry(Try);
  return Try;
}

void ShapePlayer::playStream(std::string const &Id, Random &Numbers) {
  auto const &Shape = Fleet_.shape();
  auto const Length = drawLength(Shape.Events_, Numbers);
  auto const End =
      readClock() + deadline(Shape.StreamDeadline_,
                             Shape.Gap_ * static_cast<long>(Length), Numbers);
  bool const Names = Numbers() % 2 == 0;
  auto const Path = "/stream/" + Id + '.' + std::to_string(Length);
  StreamHistory History(Length);
  bool IsComplete = false;
  std::optional<std::size_t> Before;
  for (int Number = 1; Number <= 2 && !IsComplete && readClock() < End;
       ++Number) {
    StreamTry Try;
    Try.Instance_ = Fleet_.rotation().draw(Numbers, Before);
    Before = Try.Instance_;
    Try.AttemptId_ = Id + '-' + std::to_string(Number);
    if (Names)
      Try.Resumes_ = History.firstAttempt();
    Try.LastEventId_ = History.last();
    // A stream is taken up on a new connection.
    Try = request(std::move(Try), Path, Shape.StreamBytes_,
                  Number == 1 ? chooseKeeping(Numbers) : Keeps::No, End);
    IsComplete = Try.Answer_.IsComplete_ && Try.Answer_.Status_ == Success;
    History.add(std::move(Try));
  }
  Checker_.addStream(Path, Length, std::move(History), IsComplete);
}

void ShapePlayer::playOnce(std::string const &Id, Random &Numbers) {
  auto const &Shape = Fleet_.shape();
  auto const Length = drawLength(Shape.OnceEvents_, Numbers);
  auto const End =
      readClock() + deadline(Shape.OnceDeadline_,
                             Shape.Gap_ * static_cast<long>(Length), Numbers);
  std::optional<std::size_t> Before;
  for (int Number = 1; Number <= 2 && readClock() < End; ++Number) {
    StreamTry Try;
    Try.Instance_ = Fleet_.rotation().draw(Numbers, Before);
    Before = Try.Instance_;
    Try.AttemptId_ = Id + '-' + std::to_string(Number);
    auto const Path = "/once/" + Try.AttemptId_ + '.' + std::to_string(Length);
    Try = request(std::move(Try), Path, Shape.OnceBytes_,
                  chooseKeeping(Numbers), End);
    auto const Status = Try.Answer_.Status_;
    bool const MayRetry = isPromise(Status) || Try.IsUnsent_;
    bool const IsComplete = Try.Answer_.IsComplete_ && Status == Success;
    StreamHistory History(Length);
    History.add(std::move(Try));
    Checker_.addStream(Path, Length, std::move(History), IsComplete);
    if (!MayRetry)
      return;
  }
}

void ShapePlayer::playPlain(std::string const &Id, Random &Numbers) {
  auto const End = readClock() + Fleet_.shape().PlainDeadline_;
  bool const IsOrder = Numbers() % 2 == 0;
  std::optional<std::size_t> Before;
  for (int Number = 1; Number <= 2 && readClock() < End; ++Number) {
    auto const Instance = Fleet_.rotation().draw(Numbers, Before);
    Before = Instance;
    auto const Attempt = Id + '-' + std::to_string(Number);
    auto const Path = (IsOrder ? "/order/" : "/read/") + Attempt;
    int Status = NoAnswer;
    bool IsUnsent = false;
    try {
      auto const Keeping = chooseKeeping(Numbers);
      auto Client =
          send(Instance, Path,
               {{"X-Attempt-Id", Attempt},
                {"X-Deadline-Ms", std::to_string(timeUntil(End).count())}},
               Fleet_.shape().PlainBytes_, Keeping);
      bool IsWhole = false;
      while (!IsWhole && !Client->hasEnded() && timeUntil(End).count() > 0) {
        Client->readWithin(timeUntil(End));
        IsWhole = decodeBody(Client->received(), Client->isClosed()).second;
      }
      Status =
          decodeFramedAnswer(Client->received(), Client->isClosed()).Status_;
      Checker_.addPlain(Path, Status,
                        decodeBody(Client->received(), false).first, IsWhole);
      if (IsWhole && Keeping == Keeps::Yes && !Client->hasEnded())
        Kept_.put(Fleet_.address(Instance), std::move(Client));
    } catch (std::exception const &) {
      IsUnsent = true;
    }
    if (Status == Success || (IsOrder && !isPromise(Status) && !IsUnsent))
      return;
  }
}

} // namespace laburnum::shape_soak
