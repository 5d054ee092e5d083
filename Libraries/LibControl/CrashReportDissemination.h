#pragma once

#include <LibFleet/Member.h>
#include <LibFleet/SendToPeer.h>
#include <LibGuard/CrashGuard.h>

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace laburnum {

/// Disseminates reports of contents that crash servers among the instances.
/// The coordinators of a content, a few instances by rendezvous order, receive
/// every report of it; once they suspect the content, learn of further crashes
/// under it, or clear it again, they notify all instances. Thus the number of
/// messages does not grow with the fleet until a content is suspected. Any
/// instance that has just answered it whole then clears it. As in CrashGuard,
/// the parts of prompts are contents too.
class CrashReportDissemination {
public:
  /// Guard has to outlive this object.
  CrashReportDissemination(EntryInstance Self, CrashGuard &Guard)
      : Self_(std::move(Self)), Guard_(Guard) {}

  std::vector<SendToPeer> setMembers(std::vector<Member> const &Members,
                                     TimePoint Now);
  /// Reports of this instance's guard.
  std::vector<SendToPeer>
  onLocalReports(std::vector<CrashReport> const &Reports, TimePoint Now);
  /// Reports received from a peer.
  std::vector<SendToPeer> onPeer(CrashReports const &Received, TimePoint Now);
  /// Reports of refused contents, read from the store.
  void restore(std::vector<CrashReport> const &Reports, TimePoint Now);
  /// The store may have lost what was written to it: saves all suspects again.
  void onStoreRestored(TimePoint Now);
  /// Returns the reports to be written to the store; each report is returned
  /// once, by the first coordinator only.
  std::vector<CrashReport> takeUnsaved(TimePoint Now);
  /// Repeats recent reports, as messages can be lost, and sends the refused
  /// contents to one member, in round-robin order. To be called every second.
  std::vector<SendToPeer> onTimePassed(TimePoint Now);

private:
  using Coordinators = std::vector<EntryInstance>;

  Coordinators coordinatorsOf(std::uint64_t Fingerprint) const;
  bool isCoordinator(Coordinators const &Among) const;
  void notifyCoordinators(std::uint64_t Fingerprint, TimePoint Now);
  /// Returns how many servers crashed under a suspected content; 0 if it is not
  /// suspected.
  std::size_t suspectedCrashes(std::uint64_t Fingerprint, TimePoint Now) const;
  /// Notifies all instances if what is known of a suspect has changed.
  void announce(std::uint64_t Fingerprint, TimePoint Now);
  void notifyAll(std::uint64_t Fingerprint, TimePoint Now);
  void enqueue(EntryInstance const &To,
               std::vector<CrashReport> const &Reports);
  /// Returns one message per receiver.
  std::vector<SendToPeer> takeMessages();
  std::vector<CrashReport> announced(TimePoint Now) const;

  EntryInstance const Self_;
  CrashGuard &Guard_;
  std::vector<EntryInstance> Live_; ///< This instance included.
  /// The crashes in the last announcement; 0 after the content was cleared.
  std::map<std::uint64_t, std::size_t> Announced_;
  /// Contents that this instance reported on, and until when to repeat them.
  std::map<std::uint64_t, TimePoint> RepeatUntil_;
  std::size_t NextMember_ = 0;
  std::map<Endpoint, std::vector<CrashReport>> Outbox_;
  std::map<std::uint64_t, TimePoint> Unsaved_; ///< Since when.
  std::set<std::uint64_t> Saved_; ///< Suspects that the store holds.
};

} // namespace laburnum
