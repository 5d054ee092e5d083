#pragma once

#include <LibCore/Time.h>
#include <LibHttp/ProcessWitness.h>

#include <asio/steady_timer.hpp>

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

  /// Connections that end within this time have ended together.
  static constexpr std::chrono::milliseconds Simultaneous{20};

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
  /// Whether a connection that was open beside the answer's has ended together
  /// with it.
  bool hasEndedWithAnswer(TimePoint Now) const;
  /// Hands over the connection, or the one that is being opened; null if there
  /// is none. Opens no other one.
  std::shared_ptr<ProcessWitness> take();
  void cancel();

private:
  AnswerWitness(std::shared_ptr<OutboundPool> Pool, IsAnswerOpen IsAnswerOpen);

  void follow(std::shared_ptr<ProcessWitness> const &Opened);
  void onLost(ConnectionEnd End, TimePoint Now);
  /// Opens the next connection before the server closes this one as idle.
  void armRenewal();
  void renew();

  std::shared_ptr<OutboundPool> Pool_;
  IsAnswerOpen IsAnswerOpen_;
  std::shared_ptr<ProcessWitness> Current_;
  std::shared_ptr<ProcessWitness> Next_; ///< Replaces Current_ once it is open.
  asio::steady_timer RenewalTimer_;
  TimePoint OpenedAt_{}; ///< Of Current_.
  /// Current_ was opened for this answer, so that its age is known.
  bool IsNew_ = false;
  std::uint32_t Renewals_ = 0;
  bool IsEarlier_ = false;
  bool IsEnded_ = false;
  bool HasEndedWithAnswer_ = false;
  std::optional<TimePoint> ClosedAt_; ///< When a connection was closed last.
  std::uint32_t Losses_ = 0;
};

} // namespace laburnum
