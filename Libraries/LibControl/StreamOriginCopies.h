#pragma once

#include <LibCore/Time.h>
#include <LibFleet/Member.h>
#include <LibFleet/SendToPeer.h>
#include <LibTraffic/StreamOrigins.h>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace laburnum {

/// Keeps copies of the origins of streams in the memory of a few other
/// instances, and asks these for the origin of a stream that a client takes up.
/// An origin never changes, so that a copy is right however old it is. The
/// messages are those of a collection of the store, which instances of older
/// releases ignore.
class StreamOriginCopies {
public:
  using Done = std::function<void(std::optional<StreamOrigin> const &)>;

  explicit StreamOriginCopies(EntryInstance Self) : Self_(std::move(Self)) {}

  void setMembers(std::vector<Member> const &Members);
  /// A stream of this instance has begun. Returns the copies to send.
  std::vector<SendToPeer> onBegun(BegunStream const &Stream, TimePoint Now);
  /// Calls Done with the origin, or with nothing if no instance that was asked
  /// knows it or answers in time.
  std::vector<SendToPeer> find(std::string const &FirstAttemptId, TimePoint Now,
                               Done Done);
  /// Takes in copies and answers of another instance. Returns whether the
  /// message was one of these.
  bool onUpdate(StoreUpdate const &Update, TimePoint Now);
  /// Returns the answer to another instance's question. Nothing if the message
  /// is none.
  std::optional<SendToPeer> onRequest(SnapshotRequest const &Request,
                                      TimePoint Now) const;
  /// Gives up questions. To be called twenty times a second while isBusy().
  void tick(TimePoint Now);
  bool isBusy() const { return !Questions_.empty(); }

private:
  struct Question {
    std::size_t Unanswered_ = 0;
    TimePoint GiveUpAt_{};
    std::vector<Done> Waiting_;
  };

  /// The instances that hold the stream's origin, best first.
  std::vector<EntryInstance> holders(std::string const &FirstAttemptId,
                                     std::size_t Count) const;
  void answer(std::string const &FirstAttemptId,
              std::optional<StreamOrigin> const &Origin);

  EntryInstance const Self_;
  std::vector<EntryInstance> Others_; ///< Live instances.
  StreamOrigins Copies_;              ///< Those of this instance included.
  std::map<std::string, Question> Questions_; ///< By first attempt.
};

} // namespace laburnum
