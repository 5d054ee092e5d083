#pragma once

#include <LibFleet/Member.h>
#include <LibFleet/SendToPeer.h>
#include <LibGuard/CrashGuard.h>

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace laburnum {

/// Brings together what the instances see of contents that crash servers. A few
/// keepers of each content, the first in rendezvous order, hear of every
/// incident; once they refuse the content they tell everybody, and so they do
/// when it is cleared. Messages thus do not grow with the fleet until a content
/// is refused.
class CrashNews {
public:
  /// Guard outlives the news.
  CrashNews(EntryInstance Self, CrashGuard &Guard)
      : Self_(std::move(Self)), Guard_(Guard) {}

  std::vector<SendToPeer> setMembers(std::vector<Member> const &Members,
                                     TimePoint Now);
  /// What the own guard reported.
  std::vector<SendToPeer> onOwn(std::vector<CrashReport> const &Reports,
                                TimePoint Now);
  /// What a peer tells.
  std::vector<SendToPeer> onPeer(CrashReports const &Heard, TimePoint Now);
  /// What the store kept of contents that are refused.
  void restore(std::vector<CrashReport> const &Reports, TimePoint Now);
  /// What is to be kept in the store; each report once, by one instance.
  std::vector<CrashReport> takeUnsaved() { return std::exchange(Unsaved_, {}); }
  /// Repeats what is new, as messages can be lost, and tells one member, each
  /// in its turn, which contents are refused. To be called every second.
  std::vector<SendToPeer> onTimePassed(TimePoint Now);

private:
  using Keepers = std::vector<EntryInstance>;

  Keepers keepersOf(std::uint64_t Fingerprint) const;
  bool isKeeper(Keepers const &Among) const;
  void tellKeepers(std::uint64_t Fingerprint, TimePoint Now);
  /// Tells everybody when the verdict on a content has changed.
  void announce(std::uint64_t Fingerprint, TimePoint Now);
  void tellEverybody(std::uint64_t Fingerprint, TimePoint Now);
  void tell(EntryInstance const &To, std::vector<CrashReport> const &Reports);
  /// One message for each receiver.
  std::vector<SendToPeer> takeMessages();
  std::vector<CrashReport> announced(TimePoint Now) const;

  EntryInstance const Self_;
  CrashGuard &Guard_;
  std::vector<EntryInstance> Live_; ///< This instance included.
  enum class Announcement { Refused, Cleared };

  std::map<std::uint64_t, Announcement> Announced_; ///< The last one.
  /// Contents of which this instance reported something, until when to repeat.
  std::map<std::uint64_t, TimePoint> Fresh_;
  std::size_t NextTurn_ = 0;
  std::map<Endpoint, std::vector<CrashReport>> Out_;
  std::vector<CrashReport> Unsaved_;
};

} // namespace laburnum
