#pragma once

#include <Fakes/VersionedStore.h>

#include <LibControl/StoreRelay.h>

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace laburnum::test {

/// Instances that keep two collections of one store in memory, with steps of
/// 50 ms. Messages take a step, answers of the store too.
class RelayFleet {
public:
  static constexpr Duration Step = std::chrono::milliseconds(50);

  RelayFleet(std::size_t Count, std::size_t Centres) {
    for (std::size_t Each = 0; Each < Count; ++Each)
      add("dc" + std::to_string(Each % Centres));
    tellMembers();
  }

  struct Instance {
    explicit Instance(relay::Settings const &Settings)
        : Self_(Settings.Self_), Relay_(Settings) {}

    EntryInstance Self_;
    StoreRelay Relay_;
    std::map<std::string, std::map<std::string, Version>> Held_;
    std::map<std::string, Version> Newest_; ///< Never to be fallen behind.
    bool IsRunning_ = true;
    bool HearsStore_ = true;
    bool HearsPeers_ = true;
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

  /// What membership says when it has noticed who is there.
  void tellMembers() {
    std::vector<Member> Members;
    for (auto const &One : Instances_)
      if (One.IsRunning_)
        Members.push_back({One.Self_, Liveness::Live, 0, 0, {}});
    for (std::size_t Each = 0; Each < Instances_.size(); ++Each)
      if (Instances_[Each].IsRunning_)
        perform(Each, Instances_[Each].Relay_.setMembers(Members, Now_));
  }

  /// Every instance starts again, and of all others their ended lives are
  /// known.
  void restartAll() {
    std::vector<Member> Ended;
    for (auto const &One : Instances_)
      Ended.push_back({One.Self_, Liveness::Live, 0, 0, {}});
    Reads_.clear();
    Messages_.clear();
    for (std::size_t Each = 0; Each < Instances_.size(); ++Each) {
      auto &One = Instances_[Each];
      relay::Settings Settings;
      Settings.Self_ = One.Self_;
      Settings.Self_.Id_ = InstanceId(One.Self_.Id_.text() + ".later");
      Settings.Collections_ = {"config", "servers"};
      Settings.Seed_ = Each + 1;
      One = Instance(Settings);
      auto Known = Ended;
      Known.erase(Known.begin() + static_cast<std::ptrdiff_t>(Each));
      perform(Each, One.Relay_.setMembers(Known, Now_));
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
    for (std::size_t Each = 0; Each < Instances_.size(); ++Each)
      if (Instances_[Each].IsRunning_ &&
          Instances_[Each].Relay_.readerRole() != relay::ReaderRole::None)
        Readers.push_back(Each);
    return Readers;
  }

  /// Those that run and do not hold the object at that version.
  std::size_t behind(std::string const &Collection, std::string const &Name,
                     Version Expected) const {
    std::size_t Count = 0;
    for (auto const &One : Instances_) {
      auto const Held = One.Held_.find(Collection);
      if (One.IsRunning_ &&
          (Held == One.Held_.end() || !Held->second.contains(Name) ||
           Held->second.at(Name) != Expected))
        ++Count;
    }
    return Count;
  }

  std::size_t calls() const {
    std::size_t Sum = 0;
    for (auto const &One : Instances_)
      Sum += One.Calls_;
    return Sum;
  }

  std::deque<Instance> Instances_;
  bool IsStoreDown_ = false;
  std::size_t Requests_ = 0; ///< For whole collections, between instances.
  bool WentBack_ = false;    ///< Some instance applied an older state.
  TimePoint Now_{std::chrono::hours(1)};

private:
  struct Read {
    std::size_t Reader_;
    std::string Collection_;
    std::optional<Version> WatchFrom_;
    TimePoint Until_;
    bool IsLost_ = false; ///< Sent while the store could not be heard.
  };

  void step() {
    Now_ += Step;
    auto const Messages = std::exchange(Messages_, {});
    for (auto const &Each : Messages)
      deliver(Each);
    auto const Reads = std::exchange(Reads_, {});
    for (auto const &Each : Reads)
      answer(Each);
    for (std::size_t Each = 0; Each < Instances_.size(); ++Each)
      if (Instances_[Each].IsRunning_)
        perform(Each, Instances_[Each].Relay_.tick(Now_));
  }

  void deliver(std::pair<std::size_t, SendToPeer> const &Sent) {
    auto const To = static_cast<std::size_t>(Sent.second.To_.Port_);
    auto &Receiver = Instances_[To];
    if (!Receiver.IsRunning_ || !Receiver.HearsPeers_ ||
        !Instances_[Sent.first].HearsPeers_)
      return;
    if (auto const *const News =
            std::get_if<StoreUpdate>(&Sent.second.Message_))
      perform(To, Receiver.Relay_.onStoreUpdate(*News, Now_));
    else
      perform(To, Receiver.Relay_.onRequest(
                      std::get<SnapshotRequest>(Sent.second.Message_), Now_));
  }

  void answer(Read const &One) {
    auto &Reader = Instances_[One.Reader_];
    if (!Reader.IsRunning_)
      return;
    auto const Done = [&](relay::ReadOutcome const &Outcome) {
      perform(One.Reader_,
              Reader.Relay_.onRead(One.Collection_, Outcome, Now_));
    };
    if (!Reader.HearsStore_ || IsStoreDown_ || One.IsLost_) {
      auto Lost = One;
      Lost.IsLost_ = true;
      if (Now_ < One.Until_)
        return Reads_.push_back(Lost);
      return Done(relay::ReadFailed{
          {ErrorKind::Unavailable, "no answer", "try again"}});
    }
    if (!One.WatchFrom_)
      return Done(relay::Listed{Store_.list(One.Collection_)});
    auto const Batch = Store_.changesAfter(One.Collection_, *One.WatchFrom_);
    if (Batch.Objects_.empty() && Now_ < One.Until_)
      return Reads_.push_back(One);
    Done(relay::Watched{Batch});
  }

  void perform(std::size_t Place, std::vector<relay::Action> const &Actions) {
    for (auto const &Action : Actions)
      std::visit([&](auto const &Kind) { on(Place, Kind); }, Action);
  }

  void on(std::size_t Place, SendToPeer const &Action) {
    ++Instances_[Place].Sent_;
    Requests_ += std::holds_alternative<SnapshotRequest>(Action.Message_);
    Messages_.emplace_back(Place, Action);
  }
  void on(std::size_t Place, relay::ListCollection const &Action) {
    ++Instances_[Place].Calls_;
    Reads_.push_back({Place, Action.Collection_, std::nullopt,
                      Now_ + std::chrono::milliseconds(1500)});
  }
  void on(std::size_t Place, relay::WatchCollection const &Action) {
    ++Instances_[Place].Calls_;
    Reads_.push_back(
        {Place, Action.Collection_, Action.From_, Now_ + Action.Wait_});
  }
  void on(std::size_t Place, relay::CollectionReplaced const &Action) {
    auto &Held = Instances_[Place].Held_[Action.Collection_];
    Held.clear();
    for (auto const &Object : Action.All_.Objects_)
      Held[Object.Key_.Name_] = Object.Version_;
    noteVersion(Place, Action.Collection_, Action.All_.StoreVersion_);
  }
  void on(std::size_t Place, relay::CollectionChanged const &Action) {
    auto &Held = Instances_[Place].Held_[Action.Collection_];
    for (auto const &Object : Action.Changes_.Objects_)
      if (Object.Version_ == 0)
        Held.erase(Object.Key_.Name_);
      else
        Held[Object.Key_.Name_] = Object.Version_;
    noteVersion(Place, Action.Collection_, Action.Changes_.StoreVersion_);
  }
  void on(std::size_t, relay::CollectionConfirmed const &) {}
  void on(std::size_t, relay::StoreLost const &) {}
  void on(std::size_t, relay::StoreRegained const &) {}
  void on(std::size_t, relay::ReaderRoleChanged const &) {}

  void noteVersion(std::size_t Place, std::string const &Collection,
                   Version StoreVersion) {
    auto &Newest = Instances_[Place].Newest_[Collection];
    WentBack_ |= StoreVersion < Newest;
    Newest = StoreVersion;
  }

  VersionedStore Store_;
  std::deque<std::pair<std::size_t, SendToPeer>> Messages_;
  std::vector<Read> Reads_;
};

} // namespace laburnum::test
