#pragma once

#include <LibPlacement/LeaseHolder.h>

#include <deque>
#include <functional>
#include <vector>

namespace laburnum::test {

/// What happens to a write of the lease.
enum class LeaseWriteFate {
  Normal,
  LostAnswer, ///< Takes effect; the answer is lost.
  Delayed,    ///< Unknown to the writer; takes effect with arrive().
  Failed,
};

/// Lease holders, each with a clock of its own, on one platform in memory.
class LeaseFleet {
public:
  static constexpr Duration Step = std::chrono::milliseconds(200);

  explicit LeaseFleet(std::size_t Count, lease::Settings Mine = {}) {
    std::vector<Member> Members(Count);
    for (std::size_t Each = 0; Each < Count; ++Each)
      Members[Each].Instance_.Id_ = InstanceId("i" + std::to_string(Each));
    for (std::size_t Each = 0; Each < Count; ++Each) {
      Mine.Self_ = Members[Each].Instance_.Id_;
      Mine.Seed_ = Each + 1;
      Holders_.emplace_back(Mine);
      Paused_.push_back(false);
      feed(Each, lease::MembersChanged{Members});
    }
  }

  /// Clocks of two instances are hours apart.
  TimePoint clock(std::size_t Number) const {
    return Now_ + std::chrono::hours(Number);
  }

  std::optional<HeldLease> held(std::size_t Number) const {
    return Holders_[Number].held(clock(Number));
  }

  std::size_t holders() const {
    std::size_t Count = 0;
    for (std::size_t Each = 0; Each < Holders_.size(); ++Each)
      Count += held(Each) ? 1 : 0;
    return Count;
  }

  /// The only holder's place; the number of instances when there is none.
  std::size_t holder() const {
    for (std::size_t Each = 0; Each < Holders_.size(); ++Each)
      if (held(Each))
        return Each;
    return Holders_.size();
  }

  void feed(std::size_t Number, lease::Event const &Event) {
    for (auto const &Each : Holders_[Number].handle(Event, clock(Number)))
      if (!std::holds_alternative<lease::LeaseChanged>(Each))
        Calls_.emplace_back(Number, Each);
  }

  void step() {
    Now_ += Step;
    auto const Due = std::exchange(Calls_, {});
    for (auto const &[Number, Call] : Due) {
      if (Paused_[Number])
        Calls_.emplace_back(Number, Call);
      else
        feed(Number, answer(Call));
    }
    for (std::size_t Each = 0; Each < Holders_.size(); ++Each)
      if (!Paused_[Each])
        feed(Each, lease::TimePassed{});
    MostHolders_ = std::max(MostHolders_, holders());
  }

  void run(Duration Length) {
    for (auto const End = Now_ + Length; Now_ < End;)
      step();
  }

  void arrive() {
    for (auto const &Late : std::exchange(Late_, {}))
      store(Late);
  }

  std::vector<LeaseHolder> Holders_;
  std::vector<bool> Paused_;
  std::deque<LeaseWriteFate> Writes_; ///< Of the next writes.
  bool IsDown_ = false;
  std::size_t Reads_ = 0;
  std::size_t LatestReads_ = 0; ///< Of those.
  std::size_t MostHolders_ = 0; ///< At one moment.
  TimePoint Now_ = TimePoint(std::chrono::hours(1));
  StoredObject Object_ = {lease::leaseKey(), 0, ""};

private:
  lease::Event answer(lease::Action const &Call) {
    if (std::holds_alternative<lease::ReadLease>(Call)) {
      ++Reads_;
      auto const Wanted = std::get<lease::ReadLease>(Call).Consistency_;
      LatestReads_ += Wanted == ReadConsistency::Latest ? 1 : 0;
      if (IsDown_)
        return lease::ReadFailed{};
      return lease::LeaseRead{Object_};
    }
    auto const &Write = std::get<lease::WriteLease>(Call);
    auto Fate = IsDown_ ? LeaseWriteFate::Failed : LeaseWriteFate::Normal;
    if (!Writes_.empty()) {
      Fate = Writes_.front();
      Writes_.pop_front();
    }
    if (Fate == LeaseWriteFate::Failed)
      return lease::WriteFailed{};
    if (Fate == LeaseWriteFate::Delayed) {
      Late_.push_back(Write);
      return lease::WriteUnknown{};
    }
    bool const IsStored = store(Write);
    if (Fate == LeaseWriteFate::LostAnswer)
      return lease::WriteUnknown{};
    if (!IsStored)
      return lease::WriteRefused{};
    return lease::LeaseWritten{Object_.Version_};
  }

  bool store(lease::WriteLease const &Write) {
    if (Write.Expected_ != Object_.Version_)
      return false;
    StoreVersion_ += 3; // Other objects are written too.
    Object_ = {lease::leaseKey(), StoreVersion_, Write.Value_};
    return true;
  }

  std::vector<std::pair<std::size_t, lease::Action>> Calls_;
  std::vector<lease::WriteLease> Late_;
  Version StoreVersion_ = 0;
};

} // namespace laburnum::test
