#pragma once

#include <LibPlacement/LeaseHolder.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace laburnum::test {

/// The outcome of a write of the lease.
enum class LeaseWriteOutcome {
  Normal,
  LostAnswer, ///< Takes effect, but the answer is lost.
  Delayed,    ///< Unknown to the writer; takes effect on arrive().
  Failed,
};

/// Lease holders, each with its own clock, on one in-memory platform.
class LeaseFleet {
public:
  static constexpr Duration Step = std::chrono::milliseconds(200);

  explicit LeaseFleet(std::size_t Count, lease::Settings Common = {}) {
    std::vector<Member> Members(Count);
    for (std::size_t Index = 0; Index < Count; ++Index)
      Members[Index].Instance_.Id_ = InstanceId("i" + std::to_string(Index));
    for (std::size_t Index = 0; Index < Count; ++Index) {
      Common.Self_ = Members[Index].Instance_.Id_;
      Common.Seed_ = Index + 1;
      Holders_.emplace_back(Common);
      Paused_.push_back(false);
      feed(Index, lease::MembersChanged{Members});
    }
  }

  /// Returns the instance's clock. The clocks are hours apart.
  TimePoint clock(std::size_t Number) const {
    return Now_ + std::chrono::hours(Number);
  }

  std::optional<HeldLease> held(std::size_t Number) const {
    return Holders_[Number].held(clock(Number));
  }

  std::size_t holders() const {
    std::size_t Count = 0;
    for (std::size_t Index = 0; Index < Holders_.size(); ++Index)
      Count += held(Index) ? 1 : 0;
    return Count;
  }

  /// Returns the index of the first holder, or the number of instances when
  /// there is none.
  std::size_t holder() const {
    for (std::size_t Index = 0; Index < Holders_.size(); ++Index)
      if (held(Index))
        return Index;
    return Holders_.size();
  }

  void feed(std::size_t Number, lease::Event const &Event) {
    for (auto const &Action : Holders_[Number].handle(Event, clock(Number)))
      if (!std::holds_alternative<lease::LeaseChanged>(Action))
        Calls_.emplace_back(Number, Action);
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
    for (std::size_t Index = 0; Index < Holders_.size(); ++Index)
      if (!Paused_[Index])
        feed(Index, lease::TimePassed{});
    MaxHolders_ = std::max(MaxHolders_, holders());
  }

  void run(Duration Length) {
    for (auto const End = Now_ + Length; Now_ < End;)
      step();
  }

  /// The store comes back from an older copy of the lease object; nothing if
  /// it had none.
  void restore(std::optional<StoredObject> const &Older) {
    ++Era_;
    StoreVersion_ = versionOf(Era_, 1);
    Object_ = Older.value_or(StoredObject{lease::leaseKey(), 0, ""});
    if (Older)
      Object_.Version_ = versionOf(Era_, revisionOf(Older->Version_));
    Object_.Era_ = Era_;
    StoreVersion_ = std::max(StoreVersion_, Object_.Version_);
  }

  void arrive() {
    for (auto const &Late : std::exchange(Late_, {}))
      store(Late);
  }

  std::vector<LeaseHolder> Holders_;
  std::vector<bool> Paused_;
  std::deque<LeaseWriteOutcome> Writes_; ///< Outcomes of the next writes.
  bool IsDown_ = false;
  std::size_t Reads_ = 0;
  std::size_t LatestReads_ = 0; ///< Reads of Reads_ that ask for the latest.
  std::size_t MaxHolders_ = 0;  ///< Maximum number at the same time.
  TimePoint Now_ = TimePoint(std::chrono::hours(1));
  StoredObject Object_ = {lease::leaseKey(), 0, ""};

private:
  lease::Event answer(lease::Action const &Call) {
    if (std::holds_alternative<lease::ReadLease>(Call)) {
      ++Reads_;
      auto const Consistency = std::get<lease::ReadLease>(Call).Consistency_;
      LatestReads_ += Consistency == ReadConsistency::Latest ? 1 : 0;
      if (IsDown_)
        return lease::ReadFailed{};
      return lease::LeaseRead{Object_};
    }
    auto const &Write = std::get<lease::WriteLease>(Call);
    auto Outcome =
        IsDown_ ? LeaseWriteOutcome::Failed : LeaseWriteOutcome::Normal;
    if (!Writes_.empty()) {
      Outcome = Writes_.front();
      Writes_.pop_front();
    }
    if (Outcome == LeaseWriteOutcome::Failed)
      return lease::WriteFailed{};
    if (Outcome == LeaseWriteOutcome::Delayed) {
      Late_.push_back(Write);
      return lease::WriteUnknown{};
    }
    bool const IsStored = store(Write);
    if (Outcome == LeaseWriteOutcome::LostAnswer)
      return lease::WriteUnknown{};
    if (!IsStored)
      return lease::WriteRefused{};
    return lease::LeaseWritten{Object_.Version_};
  }

  bool store(lease::WriteLease const &Write) {
    if (Write.Expected_ != Object_.Version_)
      return false;
    StoreVersion_ += 3; // Other objects are written, too.
    Object_ = {lease::leaseKey(), StoreVersion_, Write.Value_, Era_};
    return true;
  }

  std::vector<std::pair<std::size_t, lease::Action>> Calls_;
  std::vector<lease::WriteLease> Late_;
  Version StoreVersion_ = 0;
  StoreEra Era_ = 0;
};

} // namespace laburnum::test
