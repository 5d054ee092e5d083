#pragma once

#include <LibCore/Time.h>
#include <LibHttp/ProcessWitness.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace laburnum {

/// Keeps a second connection to a server open while an answer lasts that ends
/// with its own. If both end together, it is not the answer that has ended.
class AnswerWitness : public std::enable_shared_from_this<AnswerWitness> {
public:
  using IsAnswerOpen = std::function<bool()>;
  using Ready = std::function<void()>;

  /// The pool has to have a ProcessIdentifier.
  static std::shared_ptr<AnswerWitness>
  create(std::shared_ptr<OutboundPool> Pool, IsAnswerOpen IsAnswerOpen);

  /// Opens the connection before the request is sent. Calls back once it is
  /// open or has failed, and not before this returns.
  void openBeforeRequest(Ready Ready);
  /// Uses an idle connection if there is one that may lead to the process.
  void open(std::optional<std::string> const &Process);
  /// Whether a connection is open that was open while the answer was.
  bool isEarlier() const { return IsEarlier_; }
  /// Whether the server has closed it in order, together with the answer's.
  bool wasClosedWithAnswer(TimePoint Now) const;
  /// Hands over the connection, or the one that is being opened; null if there
  /// is none. Opens no other one.
  std::shared_ptr<ProcessWitness> take();
  void cancel();

private:
  AnswerWitness(std::shared_ptr<OutboundPool> Pool, IsAnswerOpen IsAnswerOpen);

  void follow(std::shared_ptr<ProcessWitness> const &Opened);
  void onLost(ConnectionEnd End, TimePoint Now);

  std::shared_ptr<OutboundPool> Pool_;
  IsAnswerOpen IsAnswerOpen_;
  std::shared_ptr<ProcessWitness> Current_;
  bool IsEarlier_ = false;
  bool IsEnded_ = false;
  std::optional<TimePoint> ClosedAt_; ///< Set while there is no connection.
  std::uint32_t Losses_ = 0;
};

} // namespace laburnum
