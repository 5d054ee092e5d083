#include "StreamCase.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <memory>

namespace review {

namespace {

constexpr double GraceMs = 8000;
constexpr double ConfigApplyMs = 2500;

struct Counts {
  std::atomic<int> Sent_ = 0;
  std::atomic<int> Whole_ = 0;
  std::atomic<int> Planned_ = 0;    ///< LOST, around planned work.
  std::atomic<int> Unanswered_ = 0; ///< LOST, at any time.
  std::atomic<int> Cut_ = 0;        ///< Cut at another time; not judged.
  std::atomic<int> Other_ = 0;
};

std::string milliseconds(double Time) {
  return std::to_string(static_cast<int>(Time)) + " ms";
}

class Client {
public:
  Client(StreamCase const &Case, Entry const &Instance, int Number, Runs &Seen,
         PlannedWork &Planned, Record &Into, Counts &Counted)
      : Case_(Case), Instance_(Instance), Number_(Number), Seen_(Seen),
        Planned_(Planned), Into_(Into), Counted_(Counted) {}

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
    note(Asked, Got, Ran, SentAt, count(Got, Ran, SentAt));
    if (Got.IsWhole_)
      ++Answered_;
    auto const Close = Got.Fields_.find("connection");
    if (!Got.IsWhole_ ||
        (Close != Got.Fields_.end() && Close->second == "close"))
      Kept_.close();
  }

  char const *count(Answer const &Got, Run const &Ran, double SentAt) {
    if (Got.IsWhole_) {
      ++(Got.Status_ == 200 ? Counted_.Whole_ : Counted_.Other_);
      return "whole";
    }
    bool const HasRunnerEnded =
        Ran.EndedAtMs_ > 0 && Ran.EndedAtMs_ < SentAt + Case_.DeadlineMs_;
    if (Got.IsTimedOut_ || !HasRunnerEnded) {
      ++Counted_.Other_;
      return "closed before the end; not counted: its deadline passed, or no "
             "runner has sent its whole answer";
    }
    auto const Instance = static_cast<unsigned>(Number_) % Case_.Instances_;
    if (Planned_.covers(Instance, SentAt, Got.EndedAtMs_, Ran.EndedAtMs_)) {
      ++Counted_.Planned_;
      return "closed before the end; LOST, around planned work";
    }
    if (Answered_ > 0 && Got.Status_ == 0) {
      ++Counted_.Unanswered_;
      return "closed without an answer; LOST, at any time";
    }
    ++Counted_.Cut_;
    return "closed before the end; not counted: no planned work";
  }

  void note(Request const &Asked, Answer const &Got, Run const &Ran,
            double SentAt, char const *Outcome) {
    Into_.add(
        Asked.Id_ + ": sent at " + milliseconds(SentAt) + " to instance " +
        std::to_string(static_cast<unsigned>(Number_) % Case_.Instances_) +
        " as request " + std::to_string(Answered_ + 1) +
        " of its connection; runner " + Ran.Runner_ +
        (Ran.EndedAtMs_ > 0
             ? " sent its whole answer (" + Ran.Form_ + ") within " +
                   milliseconds(Ran.EndedAtMs_ - SentAt)
             : std::string(" sent no whole answer")) +
        "; client: status " + std::to_string(Got.Status_) + ", " +
        std::to_string(Got.Body_.size()) + " bytes of events, after " +
        milliseconds(Got.EndedAtMs_ - SentAt) + ": " + Outcome);
  }

  StreamCase const &Case_;
  Entry const &Instance_;
  int Number_;
  Runs &Seen_;
  PlannedWork &Planned_;
  Record &Into_;
  Counts &Counted_;
  Connection Kept_;
  int Answered_ = 0; ///< Whole answers on this connection.
};

/// Sends the signals, and starts an instance again that has ended.
void disrupt(StreamCase const &Case,
             std::vector<std::unique_ptr<Entry>> const &Instances, double Since,
             PlannedWork &Planned, Record &Into) {
  for (auto Next : Case.Signals_) {
    sleepMs(Since + Next.AtMs_ - nowMs());
    auto &Instance = *Instances[Next.Instance_];
    Next.AtMs_ = nowMs();
    Planned.add(Next);
    if (Next.Signal_ == SIGHUP)
      Instance.addSetting("changed_at_ms=" +
                          std::to_string(static_cast<int>(Next.AtMs_)));
    Instance.signal(Next.Signal_);
    auto const Name = "instance " + std::to_string(Next.Instance_);
    if (Next.Signal_ != SIGTERM) {
      Into.add(Name + " gets SIGHUP, with a new field in its settings");
      continue;
    }
    Into.add(Name + " gets SIGTERM");
    while (!Instance.hasEnded() && nowMs() < Next.AtMs_ + GraceMs)
      sleepMs(50);
    Instance.signal(SIGKILL);
    while (!Instance.hasEnded())
      sleepMs(10);
    Into.add(Name + " has ended, " + milliseconds(nowMs() - Next.AtMs_) +
             " after it, and starts again");
    Instance.start();
  }
}

int judge(StreamCase const &Case, Counts const &Counted, Record &Into) {
  auto const Summary =
      std::to_string(Counted.Sent_) +
      " requests: " + std::to_string(Counted.Whole_) +
      " answered whole; whose runner had " +
      "sent its whole answer in time: " + std::to_string(Counted.Planned_) +
      " without a complete answer around planned work (none is allowed), " +
      std::to_string(Counted.Unanswered_) +
      " on kept connections without any answer at other times (" +
      std::to_string(Case.AllowedAtAnyTime_) + " are allowed), " +
      std::to_string(Counted.Cut_) +
      " cut in the answer at other times (not judged); " +
      std::to_string(Counted.Other_) + " others";
  Into.add(Summary);
  std::puts(Summary.c_str());
  if (Counted.Whole_ <= Case.Clients_)
    return 2;
  return Counted.Planned_ > 0 || Counted.Unanswered_ > Case.AllowedAtAnyTime_
             ? 1
             : 0;
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

void PlannedWork::add(PlannedSignal const &Sent) {
  std::lock_guard const Lock(Mutex_);
  Sent_.push_back(Sent);
}

bool PlannedWork::covers(unsigned Instance, double SentAtMs, double CutAtMs,
                         double RunEndedAtMs) {
  constexpr double AfterGraceMs = 1000;
  constexpr double SoonMs = 3000;
  std::lock_guard const Lock(Mutex_);
  return std::any_of(
      Sent_.begin(), Sent_.end(), [&](PlannedSignal const &Each) {
        if (Each.Instance_ != Instance || CutAtMs < Each.AtMs_)
          return false;
        if (Each.Signal_ != SIGTERM)
          return SentAtMs <= Each.AtMs_ + ConfigApplyMs;
        bool const IsTooLong = SentAtMs <= Each.AtMs_ + SoonMs &&
                               RunEndedAtMs > Each.AtMs_ + GraceMs * 5 / 6;
        return CutAtMs <= Each.AtMs_ + GraceMs + AfterGraceMs && !IsTooLong;
      });
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
  Runs Seen;
  std::vector<std::unique_ptr<Runner>> Runners;
  for (int Number = 0; Number < Case.Runners_; ++Number) {
    Runners.push_back(std::make_unique<Runner>(
        Platform, "i-" + std::to_string(Number), "sprachdienst", Case.Slots_,
        [&](Runner &Self, Message const &Asked, Connection &To) {
          return Case.Serve_(Self, Asked, To, Seen);
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
  PlannedWork Planned;
  Counts Counted;
  if (AreReady) {
    auto const Since = nowMs();
    Into.add(Case.Load_ + (hasTrouble() ? "" : "; no disruption"));
    std::vector<std::thread> Threads;
    for (int Number = 0; Number < Case.Clients_; ++Number)
      Threads.emplace_back([&, Number] {
        Client(Case,
               *Instances[static_cast<std::size_t>(Number) % Instances.size()],
               Number, Seen, Planned, Into, Counted)
            .play(Since);
      });
    if (hasTrouble())
      disrupt(Case, Instances, Since, Planned, Into);
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
