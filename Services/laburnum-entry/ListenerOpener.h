#pragma once

#include "HeldPortLog.h"

#include <LibHttp/HttpListener.h>

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace laburnum {

/// Opens a listener, again and again while its port is held, for example by a
/// previous process of this instance. Used only on the thread of the
/// io_context, and before that runs.
class ListenerOpener {
public:
  /// What to listen on, and for what.
  struct Target {
    Endpoint Address_;
    std::string Purpose_;

    auto operator<=>(Target const &) const = default;
  };

  /// The references have to outlive the opener and its listener. Opened is
  /// called once, possibly during open().
  ListenerOpener(
      asio::io_context &Context, EventLog &Log, Target Target,
      HttpService &Service, std::function<void()> Opened = [] {},
      std::shared_ptr<IntakeBudget> Budget = nullptr);

  /// Opens the listener now or, if the port is held, once it is free. Fails
  /// where waiting does not help.
  Result<Success> open();
  /// Accepts no further connections and does not open the port any more.
  void stopAccepting();
  /// Returns nullptr until the port is open.
  HttpListener *listener() const { return Listener_.get(); }

private:
  void retryLater();

  asio::io_context &Context_;
  Target Target_;
  HttpService &Service_;
  std::function<void()> Opened_;
  std::shared_ptr<IntakeBudget> Budget_;
  HeldPortLog HeldPort_;
  asio::steady_timer RetryTimer_;
  std::shared_ptr<HttpListener> Listener_;
  bool IsStopped_ = false;
};

} // namespace laburnum
