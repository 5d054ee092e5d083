#include <LibHttp/BufferedCall.h>

#include <utility>

namespace laburnum {

namespace {

class Collector : public AnswerObserver,
                  public std::enable_shared_from_this<Collector> {
public:
  Collector(asio::io_context &Context,
            std::function<void(BufferedOutcome)> Done)
      : Timer_(Context), Done_(std::move(Done)) {}

  void start(std::shared_ptr<OutboundPool> const &Pool, OutboundRequest Request,
             Duration Timeout) {
    Call_ = Pool->start(std::move(Request), shared_from_this());
    Timer_.expires_after(Timeout);
    Timer_.async_wait([Self = shared_from_this()](asio::error_code Failure) {
      if (!Failure)
        Self->onTimeout();
    });
  }

  HeadDecision onHead(AnswerHead const &Head) override {
    Answer_.Head_ = Head;
    return HeadDecision::Take;
  }
  void onBody(std::string_view Bytes) override { Answer_.Body_.append(Bytes); }
  void onComplete() override { finish(std::move(Answer_)); }
  void onFailed(AttemptEvidence const &Evidence) override { finish(Evidence); }

private:
  void onTimeout() {
    if (!Call_)
      return;
    auto const Progress = Call_->progress();
    Call_->cancel();
    finish(AttemptEvidence{Progress, AttemptEnd::TimedOut, 0,
                           "no answer in the time allowed"});
  }
  void finish(BufferedOutcome Outcome) {
    Timer_.cancel();
    Call_.reset();
    if (auto const Done = std::exchange(Done_, nullptr))
      Done(std::move(Outcome));
  }

  asio::steady_timer Timer_;
  std::function<void(BufferedOutcome)> Done_;
  std::shared_ptr<OutboundCall> Call_;
  BufferedAnswer Answer_;
};

} // namespace

void callBuffered(asio::io_context &Context,
                  std::shared_ptr<OutboundPool> const &Pool,
                  OutboundRequest Request, Duration Timeout,
                  std::function<void(BufferedOutcome)> Done) {
  std::make_shared<Collector>(Context, std::move(Done))
      ->start(Pool, std::move(Request), Timeout);
}

} // namespace laburnum
