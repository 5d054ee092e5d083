#include "StreamCase.h"

#include <algorithm>
#include <cstdio>
#include <memory>

namespace review {

namespace {

struct Counts {
  std::atomic<int> Sent_ = 0;
  std::atomic<int> Whole_ = 0;
  std::atomic<int> Lost_ = 0; ///< As the rule LOST counts.
  std::atomic<int> Other_ = 0;
};

std::string milliseconds(double Time) {
  return std::to_string(static_cast<int>(Time)) + " ms";
}

class Client {
public:
  Client(StreamCase const &Case, Entry const &Instance, int Number, Runs &Seen,
         Record &Into, Counts &Counted)
      : Case_(Case), Instance_(Instance), Number_(Number), Seen_(Seen),
        Into_(Into), Counted_(Counted) {}

  void play(double Since) {
    sleepMs(Number_ * 10.0);
    while (nowMs() - Since < Case_.EndAtMs_) {
      if (Kept_.isOpen() || connect())
        request();
      else
        sleepMs(200);
    }
  }

private:
  bool connect() {
    Answered_ = 0;
    return Kept_.open(Instance_.address(), Entry::Port);
  }

  void request() {
    Request Asked;
    Asked.Id_ = nextId();
    Asked.Path_ = "/stock/" + std::to_string(Number_);
    Asked.Body_ = "question";
    Asked.DeadlineMs_ = Case_.DeadlineMs_;
    ++Counted_.Sent_;
    auto const SentAt = nowMs();
    auto const Got = exchange(Kept_, Asked);
    sleepMs(20);
    auto const Ran = Seen_.of(Asked.Id_);
    note(Asked, Got, Ran, SentAt);
    if (Got.IsWhole_) {
      ++Counted_.Whole_;
      ++Answered_;
      return;
    }
    bool const HasRunnerEnded =
        Ran.EndedAtMs_ > 0 && Ran.EndedAtMs_ < SentAt + Case_.DeadlineMs_;
    if (Answered_ > 0 && !Got.IsTimedOut_ && HasRunnerEnded)
      ++Counted_.Lost_;
    else
      ++Counted_.Other_;
    Kept_.close();
  }

  void note(Request const &Asked, Answer const &Got, Run const &Ran,
            double SentAt) {
    auto const *const Outcome = Got.IsWhole_      ? "whole"
                                : Got.IsTimedOut_ ? "its deadline passed"
                                                  : "closed before the end";
    Into_.add(Asked.Id_ + ": sent at " + milliseconds(SentAt) + " as request " +
              std::to_string(Answered_ + 1) + " of its connection; runner " +
              Ran.Runner_ +
              (Ran.EndedAtMs_ > 0
                   ? " sent its whole answer (" + Ran.Form_ + ") within " +
                         milliseconds(Ran.EndedAtMs_ - SentAt)
                   : std::string(" sent no whole answer")) +
              "; client: status " + std::to_string(Got.Status_) + ", " +
              Outcome + " after " + milliseconds(Got.EndedAtMs_ - SentAt));
  }

  StreamCase const &Case_;
  Entry const &Instance_;
  int Number_;
  Runs &Seen_;
  Record &Into_;
  Counts &Counted_;
  Connection Kept_;
  int Answered_ = 0; ///< Whole answers on this connection.
};

int judge(StreamCase const &Case, Counts const &Counted, Record &Into) {
  auto const Summary =
      std::to_string(Counted.Sent_) +
      " requests: " + std::to_string(Counted.Whole_) + " answered whole, " +
      std::to_string(Counted.Lost_) +
      " on kept connections that were closed without the whole answer, which "
      "the runner had sent in time (" +
      std::to_string(Case.Allowed_) + " are allowed), " +
      std::to_string(Counted.Other_) + " others";
  Into.add(Summary);
  std::puts(Summary.c_str());
  if (Counted.Whole_ <= Case.Clients_)
    return 2;
  return Counted.Lost_ > Case.Allowed_ ? 1 : 0;
}

} // namespace

void Runs::begin(std::string const &Id, std::string const &Runner) {
  std::lock_guard const Lock(Mutex_);
  Runs_[Id].Runner_ = Runner;
}

void Runs::end(std::string const &Id, std::string const &Form) {
  std::lock_guard const Lock(Mutex_);
  Runs_[Id].Form_ = Form;
  Runs_[Id].EndedAtMs_ = nowMs();
}

Run Runs::of(std::string const &Id) {
  std::lock_guard const Lock(Mutex_);
  return Runs_[Id];
}

std::string chunk(std::string const &Bytes) {
  char Size[24];
  std::snprintf(Size, sizeof(Size), "%zx\r\n", Bytes.size());
  return Size + Bytes + "\r\n";
}

std::string eventText(int Id) {
  return "id: " + std::to_string(Id) + "\ndata: piece " + std::to_string(Id) +
         "\n\n";
}

int play(StreamCase const &Case, Record &Into) {
  Store Platform;
  if (!Platform.start())
    return 2;
  auto Stream = route("/stock/", "streaming", "sprachdienst",
                      static_cast<int>(Case.DeadlineMs_), 1000, 1);
  Stream["gap_target_ms"] = 300;
  Stream["sticky_sessions"] = true;
  Platform.put("config", "main",
               configuration(1, Json::array({Stream}), {"sprachdienst"}));
  std::atomic<double> Since = 1e9;
  Runs Seen;
  std::vector<std::unique_ptr<Runner>> Runners;
  for (int Number = 0; Number < Case.Runners_; ++Number) {
    Runners.push_back(std::make_unique<Runner>(
        Platform, "i-" + std::to_string(Number), "sprachdienst", Case.Slots_,
        [&](Runner &Self, Message const &Asked, Connection &To) {
          return Case.Serve_(Self, Asked, To, Seen, nowMs() - Since);
        }));
    if (!Runners.back()->start())
      return 2;
  }
  std::vector<std::unique_ptr<Entry>> Instances;
  for (unsigned Number = 0; Number < Case.Instances_; ++Number) {
    Instances.push_back(std::make_unique<Entry>(Number, Platform.port()));
    Instances.back()->start();
  }
  bool const AreReady =
      std::all_of(Instances.begin(), Instances.end(),
                  [](auto const &Instance) { return Instance->awaitReady(); });
  Counts Counted;
  if (AreReady) {
    Since = nowMs();
    Into.add(hasTrouble() ? Case.Trouble_ : "no disruption");
    std::vector<std::thread> Threads;
    for (int Number = 0; Number < Case.Clients_; ++Number)
      Threads.emplace_back([&, Number] {
        Client(Case,
               *Instances[static_cast<std::size_t>(Number) % Instances.size()],
               Number, Seen, Into, Counted)
            .play(Since);
      });
    for (auto &Thread : Threads)
      Thread.join();
  }
  Instances.clear();
  for (auto const &Each : Runners)
    Each->stop();
  Platform.stop();
  return AreReady ? judge(Case, Counted, Into) : 2;
}

} // namespace review
