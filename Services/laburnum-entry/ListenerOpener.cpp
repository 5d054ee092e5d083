#include "ListenerOpener.h"

#include <utility>

namespace laburnum {

namespace {

constexpr std::chrono::milliseconds RetryPause{100};

} // namespace

ListenerOpener::ListenerOpener(asio::io_context &Context, EventLog &Log,
                               Target Target, HttpService &Service,
                               std::function<void()> Opened,
                               std::shared_ptr<IntakeBudget> Budget)
    : Context_(Context), Target_(std::move(Target)), Service_(Service),
      Opened_(std::move(Opened)), Budget_(std::move(Budget)),
      HeldPort_(Log, Target_.Address_, Target_.Purpose_), RetryTimer_(Context) {
}

Result<Success> ListenerOpener::open() {
  auto Created =
      HttpListener::create(Context_, Target_.Address_, Service_, Budget_);
  if (isError(Created)) {
    auto const &Failure = errorOf(Created);
    if (Failure.Kind_ != ErrorKind::Unavailable)
      return Failure;
    HeldPort_.onFailure(Failure, readBootClock());
    retryLater();
    return Success{};
  }
  Listener_ = takeValue(std::move(Created));
  HeldPort_.onOpened(readBootClock());
  Opened_();
  return Success{};
}

void ListenerOpener::retryLater() {
  RetryTimer_.expires_after(RetryPause);
  RetryTimer_.async_wait([this](asio::error_code Failure) {
    if (Failure || IsStopped_)
      return;
    // The address was right before, so any other failure may pass, too.
    auto const Opened = open();
    if (!isError(Opened))
      return;
    HeldPort_.onFailure(errorOf(Opened), readBootClock());
    retryLater();
  });
}

void ListenerOpener::stopAccepting() {
  IsStopped_ = true;
  RetryTimer_.cancel();
  if (Listener_)
    Listener_->stopAccepting();
}

} // namespace laburnum
