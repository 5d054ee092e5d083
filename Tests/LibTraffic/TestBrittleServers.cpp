#include <LibTraffic/ServerRoster.h>

#include <catch2/catch.hpp>

#include <deque>
#include <memory>
#include <queue>

using namespace laburnum;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t Instances = 8;
constexpr std::size_t Servers = 9;
constexpr std::uint32_t Slots = 32;
constexpr std::uint32_t Room = 2; ///< Requests that may wait at a server.
constexpr double MaxRefusals = 5.0;
constexpr milliseconds Work{300};
constexpr milliseconds Downtime{4000};
constexpr milliseconds Step{5};
ServiceName const Writer("writer");

struct Server {
  std::uint32_t Running_ = 0;
  std::uint32_t Waiting_ = 0;
  std::deque<TimePoint> Refusals_;
  TimePoint DownUntil_ = TimePoint::min();
  unsigned Falls_ = 0;
};

struct Attempt {
  TimePoint EndsAt_;
  std::size_t Instance_;
  std::size_t Server_;

  auto operator<=>(Attempt const &) const = default;
};

ServerRecord recordOf(std::size_t Number) {
  ServerRecord Record;
  Record.Id_ = ServerId("s" + std::to_string(Number));
  Record.Service_ = Writer;
  Record.DataCentre_ = DataCentre("a");
  Record.Slots_ = Slots;
  return Record;
}

/// Instances with unequal traffic before brittle servers. A request that finds
/// no server is dropped.
struct Fleet {
  explicit Fleet(std::uint64_t Seed) : Generator_(Seed) {
    for (std::size_t Index = 0; Index < Instances; ++Index) {
      Rosters_.push_back(std::make_unique<ServerRoster>(
          Geography{DataCentre("a"), {{DataCentre("a"), "r"}}}, Seed + Index));
      Rosters_.back()->setRegistered(Instances);
      for (std::size_t Number = 0; Number < Servers; ++Number) {
        auto const Record = recordOf(Number);
        Rosters_.back()->update(Record);
        Rosters_.back()->onMaxRefusals(Record, MaxRefusals);
      }
    }
  }

  void end(Attempt const &Ended) {
    auto &At = Servers_[Ended.Server_];
    auto &Roster = *Rosters_[Ended.Instance_];
    auto const Record = recordOf(Ended.Server_);
    if (At.DownUntil_ > Now_)
      return Roster.onEnded(Record, AttemptHealth::Failed, Now_);
    --At.Running_;
    ++Served_;
    Roster.onLoad(Record, {At.Running_, 0, Slots}, Now_);
    Roster.onEnded(Record, AttemptHealth::Worked, Now_);
  }

  void refuse(std::size_t Instance, std::size_t Number) {
    auto &At = Servers_[Number];
    At.Refusals_.push_back(Now_);
    while (At.Refusals_.front() + seconds(1) <= Now_)
      At.Refusals_.pop_front();
    if (static_cast<double>(At.Refusals_.size()) > MaxRefusals) {
      ++At.Falls_;
      At = {0, 0, {}, Now_ + Downtime, At.Falls_};
    }
    Rosters_[Instance]->onLoad(recordOf(Number), {At.Running_, 0, Slots}, Now_);
    Rosters_[Instance]->onEnded(recordOf(Number), AttemptHealth::Refused, Now_);
  }

  void send(std::size_t Instance) {
    ++Asked_;
    auto &Roster = *Rosters_[Instance];
    auto const Chosen = Roster.choose({Writer, {}, {}}, Now_);
    if (!Chosen)
      return;
    Roster.onSent(*Chosen, Now_);
    auto const Number =
        static_cast<std::size_t>(std::stoul(Chosen->Id_.text().substr(1)));
    auto &At = Servers_[Number];
    if (At.DownUntil_ > Now_)
      return Roster.onEnded(*Chosen, AttemptHealth::Failed, Now_);
    if (At.Running_ >= Slots + Room)
      return refuse(Instance, Number);
    ++At.Running_;
    Attempts_.push({Now_ + Work, Instance, Number});
  }

  /// Plays Time with that fraction of the servers' capacity.
  void play(Duration Time, double Load) {
    std::vector<double> const Weights{3, 2, 1, 1, 1, 1, 1, 0.5};
    std::discrete_distribution<std::size_t> Pick(Weights.begin(),
                                                 Weights.end());
    double const PerStep = Load * static_cast<double>(Servers * Slots) *
                           (std::chrono::duration<double>(Step) / Work);
    std::poisson_distribution<unsigned> Arrivals(PerStep);
    for (auto const End = Now_ + Time; Now_ < End; Now_ += Step) {
      while (!Attempts_.empty() && Attempts_.top().EndsAt_ <= Now_) {
        end(Attempts_.top());
        Attempts_.pop();
      }
      for (auto Count = Arrivals(Generator_); Count > 0; --Count)
        send(Pick(Generator_));
    }
  }

  unsigned falls() const {
    unsigned Sum = 0;
    for (auto const &Each : Servers_)
      Sum += Each.Falls_;
    return Sum;
  }

  std::mt19937_64 Generator_;
  std::vector<std::unique_ptr<ServerRoster>> Rosters_;
  std::vector<Server> Servers_{Servers};
  std::priority_queue<Attempt, std::vector<Attempt>, std::greater<>> Attempts_;
  TimePoint Now_{seconds(100)};
  unsigned Asked_ = 0;
  unsigned Served_ = 0;
};

} // namespace

TEST_CASE("Brittle servers do not fall over under load, and serve what they "
          "can") {
  auto const Load = GENERATE(0.7, 1.4);
  auto const Seed = GENERATE(range(1U, 21U));
  CAPTURE(Load, Seed);
  Fleet Fleet(Seed);
  Fleet.play(seconds(20), Load);
  // The users' bound: 2 and a tenth of the servers.
  CHECK(Fleet.falls() <= 2 + Servers / 10);
  // Of what fits, at least two thirds.
  CHECK(Fleet.Served_ * 3 >=
        2 * static_cast<unsigned>(Fleet.Asked_ * std::min(1.0, 1.0 / Load)));
}
