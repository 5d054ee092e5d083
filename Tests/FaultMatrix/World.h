#pragma once

#include <FaultMatrix/Callers.h>
#include <FaultMatrix/Entry.h>

#include <LibFleet/ChangeWriter.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace laburnum::faults {

/// How the first word of a server's leaving comes.
enum class LeavingSign { Notice, List, Peer, Refusal };

/// Whether a call that must not be repeated may end in may_have_run.
enum class Doubt { Never, Allowed };

/// Entry instances in two data centres, their peers, servers, platform,
/// operators and callers, in one thread and virtual time.
class World {
public:
  static constexpr std::size_t Instances = 6;
  static constexpr Duration FaultTime = std::chrono::seconds(3);
  /// A leaving server takes no new work after this.
  static constexpr Duration LeavingBound = std::chrono::seconds(3);

  World(std::uint64_t Seed, Mutants Out);

  void run(Duration Span) { Queue_.runUntil(Queue_.now() + Span); }

  // What callers, operators and the cloud do.
  std::size_t call(std::string const &Key, Idempotence Kind,
                   std::size_t Instance, Duration Patience = DefaultPatience);
  std::size_t stream(std::string const &Prompt, std::uint32_t Tokens,
                     std::size_t Instance);
  void sendAgain(std::size_t Caller, std::size_t Instance) {
    Callers_.sendAgain(Caller, Instance);
  }
  /// A steady load of harmless calls for so long.
  void keepCalling(Duration Span);
  void change(std::string const &Id, std::size_t Instance);
  void race(std::string const &Id, std::size_t Instance);
  void leave(ServerId const &Server, LeavingSign Sign, Duration Remaining);
  void stopInstance(std::size_t Number);
  void reclaim(ServerId const &Id, Duration Notice);
  /// The server is gone at once.
  void lose(ServerId const &Id);

  /// The first time that the step is reached (by the call of this key, where
  /// servers see it), Then is done at once.
  void atStep(Step Wanted, std::string const &Key,
              std::function<void(Place const &)> Then);
  void reach(Step Reached, Place const &Where);
  void after(Duration Delay, EventQueue::Work Then) {
    Queue_.after(Delay, std::move(Then));
  }

  void inject(Fault One, Place const &Where);
  void cutCentres(Duration Span);
  void kill(std::size_t Number);

  /// Ends all faults, lets everything come to rest and checks what must hold.
  void settle(Doubt Allowed);

  /// Whether an instance holds the highest accepted version of everything.
  void checkInForce(std::size_t Number);

  Oracle &oracle() { return Oracle_; }
  BackendFake &backends() { return Backends_; }
  PlatformFake &platform() { return Platform_; }
  Callers const &callers() const { return Callers_; }

private:
  static constexpr Duration DefaultPatience = std::chrono::seconds(4);

  struct Host {
    EntryInstance Address_;
    std::unique_ptr<Entry> Entry_;
    TimePoint ReturnedAt_{}; ///< When it last started or went on.
  };
  struct Departing {
    std::optional<TimePoint> KnownSince_;
    /// Empty while it only refuses.
    std::optional<TimePoint> ListedFrom_;
  };

  EntryHooks entryHooks();
  BackendFake::Hooks backendHooks();
  void configure();
  void applyServer(ServerId const &Id, std::string const &ChangeName);
  void start(std::size_t Number);
  void end(std::size_t Number);
  void tick();
  void finishStop(std::size_t Number, std::uint64_t Life);
  bool isRunning(std::size_t Number) const {
    return Hosts_[Number].Entry_ != nullptr;
  }
  void sendToPeer(std::size_t From, SendToPeer const &Message);
  void handToPeer(std::size_t To, InstanceId const &From,
                  PeerMessage const &Message);
  void sendToInstance(std::size_t Number, Sending const &Sent);
  void leaveInstance(RequestId const &Id);
  bool areCut(std::size_t Instance, DataCentre const &Where) const;
  InstanceListing listing() const;
  std::vector<ReclaimNotice> notices(std::size_t Instance, std::size_t From);
  void onWork(ServerId const &Server, AttemptOwner const &Owner);
  void onCrash(ServerId const &Server);
  void tellCrash(ServerId const &Server);
  void applyChange(Change const &Asked, std::size_t Instance);
  void onChangeEnd(Change const &Asked, std::size_t Instance,
                   ChangeResult const &Outcome);
  Change changeNamed(std::string const &Id);

  void injectPlatform(Fault One, Place const &Where);
  void injectServers(Fault One, Place const &Where);
  void replaceLater(ServerId const &Id, Duration Delay);
  void pause(std::size_t Number);
  void heal();

  void checkCallers(Doubt Allowed);
  void checkConfiguration();
  void checkAudit();

  Mutants const Out_;
  EventQueue Queue_;
  Oracle Oracle_;
  PlatformFake Platform_;
  BackendFake Backends_;
  Callers Callers_;
  EntryHooks const Hooks_;
  std::mt19937_64 Generator_;
  std::vector<Host> Hosts_;
  std::uint64_t NextLife_ = 1;
  std::map<RequestId, std::pair<std::size_t, std::uint64_t>> At_;
  /// In the cloud's order, each with the moment when its instance goes.
  std::vector<std::pair<ReclaimNotice, TimePoint>> Notices_;
  std::optional<std::size_t> OnlyNoticed_; ///< Who alone gets notices.
  std::map<ServerId, Departing> Departing_;
  std::set<ServerId> Kept_; ///< Departing for good; not to be replaced.
  bool AreCentresCut_ = false;
  /// Instances that were cut off from their peers may not have heard before.
  TimePoint CutEndedAt_{};
  bool AreMessagesDuplicated_ = false;
  std::size_t Crashes_ = 0;
  std::uint64_t NextChange_ = 1;

  std::optional<Step> Wanted_;
  std::string WantedKey_;
  std::function<void(Place const &)> OnWanted_;
};

} // namespace laburnum::faults
