#pragma once

#include <LibControl/CrashReportDissemination.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace laburnum::test {

/// Entry instances that exchange crash reports, in simulated time.
class CrashReportFleet {
public:
  static constexpr std::size_t MaxCrashes = 3;
  /// Delivery time of a message.
  static constexpr Duration MessageDelay = std::chrono::milliseconds(10);

  struct Instance {
    Instance(std::size_t Number, std::uint64_t Incarnation)
        : Self_(describe(Number, Incarnation)),
          Guard_(Number * 1000 + Incarnation, {MaxCrashes}),
          Dissemination_(Self_, Guard_) {}

    EntryInstance Self_;
    CrashGuard Guard_;
    CrashReportDissemination Dissemination_;
  };

  explicit CrashReportFleet(std::size_t Count) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      Instances_.push_back(std::make_unique<Instance>(Index, 0));
    updateMembers();
  }

  void updateMembers() {
    std::vector<Member> Members;
    for (auto const &Entry : Instances_) {
      Member Known;
      Known.Instance_ = Entry->Self_;
      Members.push_back(Known);
    }
    for (auto &Entry : Instances_)
      post(Entry->Dissemination_.setMembers(Members, Now_));
  }

  void restart(std::size_t Number) {
    Instances_[Number] = std::make_unique<Instance>(Number, ++Restarts_);
    updateMembers();
  }

  void post(std::vector<SendToPeer> const &Actions) {
    Messages_ += Actions.size();
    for (auto const &Entry : Actions)
      if (!DropsMessages_)
        InFlight_.push_back({Now_ + MessageDelay, Entry});
  }

  void pass(Duration Time) {
    for (auto const End = Now_ + Time; Now_ < End; Now_ += MessageDelay) {
      while (!InFlight_.empty() && InFlight_.front().At_ <= Now_) {
        auto const Next = InFlight_.front().Action_;
        InFlight_.pop_front();
        deliver(Next);
      }
      if (Now_ >= NextTick_) {
        NextTick_ = Now_ + std::chrono::seconds(1);
        for (auto &Entry : Instances_)
          post(Entry->Dissemination_.onTimePassed(Now_));
      }
    }
  }

  void deliver(SendToPeer const &Next) {
    for (auto &Entry : Instances_)
      if (Entry->Self_.Peers_ == Next.To_)
        post(Entry->Dissemination_.onPeer(std::get<CrashReports>(Next.Message_),
                                          Now_));
  }

  struct Message {
    TimePoint At_;
    SendToPeer Action_;
  };

  std::vector<std::unique_ptr<Instance>> Instances_;
  std::deque<Message> InFlight_;
  TimePoint Now_{};
  TimePoint NextTick_{};
  std::size_t Messages_ = 0;
  std::uint64_t Restarts_ = 0;
  bool DropsMessages_ = false;

private:
  static EntryInstance describe(std::size_t Number, std::uint64_t Incarnation) {
    EntryInstance Result;
    Result.Id_ = InstanceId("e" + std::to_string(Number) + '.' +
                            std::to_string(Incarnation));
    Result.Peers_ = {"10.0.0.1", static_cast<std::uint16_t>(1000 + Number)};
    return Result;
  }
};

} // namespace laburnum::test
