#pragma once

#include <Fakes/VersionedStore.h>

#include <LibControl/StoreRelay.h>

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace laburnum::test {

/// Instances that follow two collections of one store, simulated in steps of
/// 50 ms. A message and an answer of the store take one step each.
class RelayFleet {
public:
  static constexpr Duration Step = std::chrono::milliseconds(50);

  RelayFleet(std::size_t Count, std::size_t Centres) {
    for (std::size_t Index = 0; Index < Count; ++Index)
      add("dc" + std::to_string(Index % Centres));
    updateMembers();
  }

  struct Instance {
    explicit Instance(relay::Settings const &Settings)
        : Self_(Settings.Self_), Relay_(Settings) {}

    EntryInstance Self_;
    StoreRelay Relay_;
    std::map<std::string, std::map<std::string, Version>> Held_;
    std::map<std::string, Version>
        HighestVersions_; ///< The applied version must not fall below these.
    bool IsRunning_ = true;
    bool ReachesStore_ = true;
    bool ReachesPeers_ = true;
    std::size_t Calls_ = 0;
    std::size_t Sent_ = 0;
  };

  std::size_t add(std::string const &Centre) {
    relay::Settings Settings;
    Settings.Self_.Id_ = InstanceId("i" + std::to_string(Instances_.size()));
    Settings.Self_.DataCentre_ = DataCentre(Centre);
    Settings.Self_.Peers_ = {"h",
                             static_cast<std::uint16_t>(Instances_.size())};
    Settings.Collections_ = {"config", "servers"};
    Settings.Seed_ = Instances_.size() + 1;
    Instances_.emplace_back(Settings);
    return Instances_.size() - 1;
  }

  /// Passes the running instances to all, as membership does after a change.
  void updateMembers() {
    std::vector<Member> Members;
    for (auto const &Entry : Instances_)
      if (Entry.IsRunning_)
        Members.push_back({Entry.Self_, Liveness::Live, 0, 0, {}});
    for (std::size_t Index = 0; Index < Instances_.size(); ++Index)
      if (Instances_[Index].IsRunning_)
        perform(Index, Instances_[Index].Relay_.setMembers(Members, Now_));
  }

  /// Restarts every instance; each knows the others only by their previous
  /// incarnations.
  void restartAll() {
    std::vector<Member> Previous;
    for (auto const &Entry : Instances_)
      Previous.push_back({Entry.Self_, Liveness::Live, 0, 0, {}});
    Reads_.clear();
    Messages_.clear();
    for (std::size_t Index = 0; Index < Instances_.size(); ++Index) {
      auto &Entry = Instances_[Index];
      relay::Settings Settings;
      Settings.Self_ = Entry.Self_;
      Settings.Self_.Id_ = InstanceId(Entry.Self_.Id_.text() + ".later");
      Settings.Collections_ = {"config", "servers"};
      Settings.Seed_ = Index + 1;
      Entry = Instance(Settings);
      auto Listed = Previous;
      Listed.erase(Listed.begin() + static_cast<std::ptrdiff_t>(Index));
      perform(Index, Entry.Relay_.setMembers(Listed, Now_));
    }
  }

  Version write(std::string const &Collection, std::string const &Name,
                std::string const &Value) {
    ObjectKey const Key{Collection, Name};
    auto const Written = Store_.putIf(Key, Store_.find(Key).Version_, Value);
    return valueOf(Written);
  }

  void pass(Duration Length) {
    for (auto const End = Now_ + Length; Now_ < End;)
      step();
  }

  std::vector<std::size_t> readers() const {
    std::vector<std::size_t> Readers;
    for (std::size_t Index = 0; Index < Instances_.size(); ++Index)
      if (Instances_[Index].IsRunning_ &&
          Instances_[Index].Relay_.readerRole() != relay::ReaderRole::None)
        Readers.push_back(Index);
    return Readers;
  }

  /// Number of running instances without the object at that version.
  std::size_t behind(std::string const &Collection, std::string const &Name,
                     Version Expected) const {
    std::size_t Count = 0;
    for (auto const &Entry : Instances_) {
      auto const Held = Entry.Held_.find(Collection);
      if (Entry.IsRunning_ &&
          (Held == Entry.Held_.end() || !Held->second.contains(Name) ||
           Held->second.at(Name) != Expected))
        ++Count;
    }
    return Count;
  }

  std::size_t calls() const {
    std::size_t Sum = 0;
    for (auto const &Entry : Instances_)
      Sum += Entry.Calls_;
    return Sum;
  }

  std::deque<Instance> Instances_;
  bool IsStoreDown_ = false;
  std::size_t Requests_ = 0;  ///< Snapshot requests between instances.
  bool HasRegressed_ = false; ///< Some instance applied an older state.
  TimePoint Now_{std::chrono::hours(1)};

private:
  struct Read {
    std::size_t ReaderIndex_;
    std::string Collection_;
    std::optional<Version> WatchFrom_;
    TimePoint Until_;
    bool IsLost_ = false; ///< Sent while the store was not reachable.
  };

  void step() {
    Now_ += Step;
    auto const Messages = std::exchange(Messages_, {});
    for (auto const &Entry : Messages)
      deliver(Entry);
    auto const Reads = std::exchange(Reads_, {});
    for (auto const &Entry : Reads)
      answer(Entry);
    for (std::size_t Index = 0; Index < Instances_.size(); ++Index)
      if (Instances_[Index].IsRunning_)
        perform(Index, Instances_[Index].Relay_.tick(Now_));
  }

  void deliver(std::pair<std::size_t, SendToPeer> const &Sent) {
    auto const To = static_cast<std::size_t>(Sent.second.To_.Port_);
    auto &Receiver = Instances_[To];
    if (!Receiver.IsRunning_ || !Receiver.ReachesPeers_ ||
        !Instances_[Sent.first].ReachesPeers_)
      return;
    if (auto const *const Update =
            std::get_if<StoreUpdate>(&Sent.second.Message_))
      perform(To, Receiver.Relay_.onStoreUpdate(*Update, Now_));
    else
      perform(To, Receiver.Relay_.onRequest(
                      std::get<SnapshotRequest>(Sent.second.Message_), Now_));
  }

  void answer(Read const &Pending) {
    auto &Reader = Instances_[Pending.ReaderIndex_];
    if (!Reader.IsRunning_)
      return;
    auto const Done = [&](relay::ReadOutcome const &Outcome) {
      perform(Pending.ReaderIndex_,
              Reader.Relay_.onRead(Pending.Collection_, Outcome, Now_));
    };
    if (!Reader.ReachesStore_ || IsStoreDown_ || Pending.IsLost_) {
      auto Lost = Pending;
      Lost.IsLost_ = true;
      if (Now_ < Pending.Until_)
        return Reads_.push_back(Lost);
      return Done(relay::ReadFailed{
          {ErrorKind::Unavailable, "no answer", "try again"}});
    }
    if (!Pending.WatchFrom_)
      return Done(relay::Listed{Store_.list(Pending.Collection_)});
    auto const Batch =
        Store_.changesAfter(Pending.Collection_, *Pending.WatchFrom_);
    if (Batch.Objects_.empty() && Now_ < Pending.Until_)
      return Reads_.push_back(Pending);
    Done(relay::Watched{Batch});
  }

  void perform(std::size_t Index, std::vector<relay::Action> const &Actions) {
    for (auto const &Action : Actions)
      std::visit([&](auto const &Kind) { on(Index, Kind); }, Action);
  }

  void on(std::size_t Index, SendToPeer const &Action) {
    ++Instances_[Index].Sent_;
    Requests_ += std::holds_alternative<SnapshotRequest>(Action.Message_);
    Messages_.emplace_back(Index, Action);
  }
  void on(std::size_t Index, relay::ListCollection const &Action) {
    ++Instances_[Index].Calls_;
    Reads_.push_back({Index, Action.Collection_, std::nullopt,
                      Now_ + std::chrono::milliseconds(1500)});
  }
  void on(std::size_t Index, relay::WatchCollection const &Action) {
    ++Instances_[Index].Calls_;
    Reads_.push_back(
        {Index, Action.Collection_, Action.From_, Now_ + Action.Wait_});
  }
  void on(std::size_t Index, relay::CollectionReplaced const &Action) {
    auto &Held = Instances_[Index].Held_[Action.Collection_];
    Held.clear();
    for (auto const &Object : Action.All_.Objects_)
      Held[Object.Key_.Name_] = Object.Version_;
    recordVersion(Index, Action.Collection_, Action.All_.StoreVersion_);
  }
  void on(std::size_t Index, relay::CollectionChanged const &Action) {
    auto &Held = Instances_[Index].Held_[Action.Collection_];
    for (auto const &Object : Action.Changes_.Objects_)
      if (Object.Version_ == 0)
        Held.erase(Object.Key_.Name_);
      else
        Held[Object.Key_.Name_] = Object.Version_;
    recordVersion(Index, Action.Collection_, Action.Changes_.StoreVersion_);
  }
  void on(std::size_t, relay::CollectionConfirmed const &) {}
  void on(std::size_t, relay::StoreLost const &) {}
  void on(std::size_t, relay::StoreRegained const &) {}
  void on(std::size_t, relay::ReaderRoleChanged const &) {}

  void recordVersion(std::size_t Index, std::string const &Collection,
                     Version StoreVersion) {
    auto &Highest = Instances_[Index].HighestVersions_[Collection];
    HasRegressed_ |= StoreVersion < Highest;
    Highest = StoreVersion;
  }

  VersionedStore Store_;
  std::deque<std::pair<std::size_t, SendToPeer>> Messages_;
  std::vector<Read> Reads_;
};

} // namespace laburnum::test
