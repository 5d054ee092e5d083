#pragma once

#include <LibControl/CollectionState.h>
#include <LibControl/NewsTree.h>
#include <LibCore/Result.h>
#include <LibFleet/Member.h>
#include <LibFleet/SendToPeer.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace laburnum {

namespace relay {

/// Answers to the reads that the relay asked for.
struct Listed {
  ObjectList List_;
};
struct Watched {
  WatchBatch Batch_;
};
struct ReadFailed {
  Error Reason_;
};

using ReadOutcome = std::variant<Listed, Watched, ReadFailed>;

/// Read the whole collection from the store.
struct ListCollection {
  std::string Collection_;

  auto operator<=>(ListCollection const &) const = default;
};
/// Wait for changes of the collection after From_.
struct WatchCollection {
  std::string Collection_;
  Version From_ = 0;
  Duration Wait_{};

  auto operator<=>(WatchCollection const &) const = default;
};
/// The collection is All_; what is not in it does not exist.
struct CollectionReplaced {
  std::string Collection_;
  ObjectList All_;

  auto operator<=>(CollectionReplaced const &) const = default;
};
struct CollectionChanged {
  std::string Collection_;
  WatchBatch Changes_;

  auto operator<=>(CollectionChanged const &) const = default;
};
/// What is held was the store's latest state a moment ago.
struct CollectionConfirmed {
  std::string Collection_;
  Version Version_ = 0;

  auto operator<=>(CollectionConfirmed const &) const = default;
};
/// The store stopped answering this instance, or does again.
struct StoreLost {
  std::string Collection_;
  Error Reason_;

  auto operator<=>(StoreLost const &) const = default;
};
struct StoreRegained {
  std::string Collection_;

  auto operator<=>(StoreRegained const &) const = default;
};

/// Why this instance reads the store.
enum class Reading {
  None,    ///< Others do, and tell it.
  ByRank,  ///< It is one of the few that read for all.
  ForWant, ///< It hears too little from the others.
};

struct ReadingChanged {
  Reading Reading_ = Reading::None;
  Duration NewsAge_{}; ///< Since others' news last confirmed what is held.
  std::size_t Live_ = 0;

  auto operator<=>(ReadingChanged const &) const = default;
};

using Action =
    std::variant<SendToPeer, ListCollection, WatchCollection,
                 CollectionReplaced, CollectionChanged, CollectionConfirmed,
                 StoreLost, StoreRegained, ReadingChanged>;

struct Settings {
  EntryInstance Self_;
  std::vector<std::string> Collections_;
  std::uint64_t Seed_ = 0;
};

} // namespace relay

/// Keeps collections of the store known to every instance at the cost of a few
/// that read them. The first instances in rendezvous order watch the store and
/// tell the others, each along a tree of its own, of every change and twice a
/// second that nothing has changed. An instance that hears no such word for
/// longer than its patience reads the store itself and tells the others, until
/// it hears from them again; patience grows with the place in that order, so
/// that when the readers are lost a few others step in first.
class StoreRelay {
public:
  explicit StoreRelay(relay::Settings Settings);

  /// To be called at least ten times a second.
  std::vector<relay::Action> tick(TimePoint Now);
  std::vector<relay::Action> onRead(std::string const &Collection,
                                    relay::ReadOutcome const &Outcome,
                                    TimePoint Now);
  std::vector<relay::Action> onNews(StoreNews const &News, TimePoint Now);
  std::vector<relay::Action> onRequest(StoreNewsRequest const &Request,
                                       TimePoint Now);
  std::vector<relay::Action> setMembers(std::vector<Member> const &Members,
                                        TimePoint Now);

  relay::Reading reading() const { return Reading_; }

private:
  struct Followed {
    explicit Followed(std::string Collection) : State_(std::move(Collection)) {}

    CollectionState State_;
    /// When State_ was last known to be the store's latest; by own reading.
    std::optional<TimePoint> OwnAt_;
    /// The same by the word of each origin, as of its last.
    std::map<InstanceId, TimePoint> Claims_;
    bool IsAwaited_ = false; ///< An answer of the store.
    bool NeedsList_ = true;
    std::optional<TimePoint> WatchSince_; ///< Of the watch that is open.
    Version WatchFrom_ = 0;
    TimePoint NotBefore_ = TimePoint::min(); ///< Of the next read.
    /// The next watch is left to the first reader until then, while it is
    /// heard.
    TimePoint LeftUntil_ = TimePoint::min();
    std::uint32_t Failures_ = 0;           ///< In a row.
    TimePoint NextAsk_ = TimePoint::min(); ///< For the whole collection.

    std::optional<TimePoint> claimedAt() const;
  };

  Followed *find(std::string const &Collection);
  void listed(Followed &One, ObjectList const &List);
  void watched(Followed &One, WatchBatch const &Batch);
  void failed(Followed &One, Error const &Reason);
  void succeeded(Followed &One);
  /// Whether the news could be applied.
  bool apply(Followed &One, CollectionNews const &News);
  void confirm(Followed &One);
  /// Since when the collection is confirmed, by reading it or by others.
  std::optional<TimePoint> confirmedAt(Followed const &One) const;
  /// When what is held was last the store's latest state, by own reading.
  std::optional<TimePoint> vouchedAt(Followed const &One) const;

  void chooseReading();
  std::optional<TimePoint> heardAt() const;
  bool haveOthersEnough() const;
  bool isStartOver() const;
  bool isInWant(Duration NewsAge);
  void read();
  void beat();
  void tell(std::vector<CollectionNews> News);
  void passOn(StoreNews const &News);
  void send(Endpoint const &To, StoreNews News);
  void ask(Followed &One, Endpoint const &Whom);
  void askSomebody();
  std::vector<relay::Action> take();

  relay::Settings Settings_;
  std::mt19937_64 Generator_;
  std::vector<Followed> Followed_;
  std::vector<EntryInstance> Live_; ///< This instance included.
  std::size_t Place_ = 0;           ///< In the order of readers.
  std::set<Endpoint> Chosen_;       ///< Of those that read for all.
  relay::Reading Reading_ = relay::Reading::None;
  std::optional<TimePoint> StartedAt_;
  std::optional<TimePoint> OthersKnownAt_;
  double StartPart_ = 0.0; ///< Of what may be added to the start's patience.
  std::optional<TimePoint> InWantSince_;
  std::optional<TimePoint> WantUntil_;
  std::optional<TimePoint> LastTick_;
  TimePoint NextBeat_ = TimePoint::min();
  /// Whether those who rely on this reader are to be told that it has lost the
  /// store.
  bool OwesDoubt_ = false;
  TimePoint NextAsk_ = TimePoint::min();
  std::uint64_t Number_ = 0;
  NewsTree Tree_;
  TimePoint Now_;
  std::vector<relay::Action> Actions_;
};

} // namespace laburnum
