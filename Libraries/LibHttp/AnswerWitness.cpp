#include <LibHttp/AnswerWitness.h>

#include <LibHttp/OutboundPool.h>

#include <algorithm>
#include <utility>

namespace laburnum {

namespace {

/// How often one answer's connection is opened again after it was lost.
constexpr std::uint32_t MaxLosses = 8;
/// Limits how many connections a server with a very short idle time gets.
constexpr std::chrono::milliseconds MinRenewalPeriod{50};
constexpr std::uint32_t MaxRenewals = 32;

} // namespace

std::shared_ptr<AnswerWitness>
AnswerWitness::create(std::shared_ptr<OutboundPool> Pool,
                      IsAnswerOpen IsAnswerOpen) {
  return std::shared_ptr<AnswerWitness>(
      new AnswerWitness(std::move(Pool), std::move(IsAnswerOpen)));
}

AnswerWitness::AnswerWitness(std::shared_ptr<OutboundPool> Pool,
                             IsAnswerOpen IsAnswerOpen)
    : Pool_(std::move(Pool)), IsAnswerOpen_(std::move(IsAnswerOpen)),
      RenewalTimer_(Pool_->Context_) {}

void AnswerWitness::openBeforeRequest(Ready Ready) {
  Current_ = ProcessWitness::connect(Pool_);
  follow(Current_);
  Current_->whenReady([Self = shared_from_this(), Ready = std::move(Ready)] {
    if (Self->IsEnded_)
      return;
    Self->IsEarlier_ = true;
    Self->OpenedAt_ = readClock();
    Self->armRenewal();
    Ready();
  });
}

void AnswerWitness::open(std::optional<std::string> const &Process) {
  Current_ = Process ? ProcessWitness::connectTo(*Process, Pool_)
                     : ProcessWitness::connect(Pool_);
  IsNew_ = !Process;
  follow(Current_);
  Current_->whenReady([Self = shared_from_this()] {
    if (Self->IsEnded_)
      return;
    Self->IsEarlier_ = Self->IsAnswerOpen_();
    Self->OpenedAt_ = readClock();
    Self->armRenewal();
  });
}

void AnswerWitness::follow(std::shared_ptr<ProcessWitness> const &Opened) {
  Opened->whenLost(
      [Self = shared_from_this(), Lost = Opened.get()](ConnectionEnd End) {
        if (Self->IsEnded_)
          return;
        if (Lost == Self->Next_.get()) {
          Self->Next_.reset();
          Self->armRenewal();
        } else if (Lost == Self->Current_.get())
          Self->onLost(End, readClock());
      });
}

void AnswerWitness::onLost(ConnectionEnd End, TimePoint Now) {
  Current_.reset();
  RenewalTimer_.cancel();
  bool const WasEarlier = std::exchange(IsEarlier_, false);
  // A server at its limit of connections resets some at any time.
  if (WasEarlier && End == ConnectionEnd::Orderly)
    ClosedAt_ = Now;
  if (!IsAnswerOpen_()) {
    HasEndedWithAnswer_ = WasEarlier;
    return;
  }
  // An older connection was idle before, which is a lower bound.
  bool const IsIdleTime = IsNew_ || !Pool_->IdleTime_;
  if (WasEarlier && IsIdleTime && End == ConnectionEnd::Orderly) {
    auto const Lasted = Now - OpenedAt_;
    Pool_->IdleTime_ = std::min(Pool_->IdleTime_.value_or(Lasted), Lasted);
  }
  if (++Losses_ < MaxLosses)
    open(std::nullopt);
}

bool AnswerWitness::hasEndedWithAnswer(TimePoint Now) const {
  return HasEndedWithAnswer_ || (ClosedAt_ && Now - *ClosedAt_ < Simultaneous);
}

void AnswerWitness::armRenewal() {
  if (!Pool_->IdleTime_ || Renewals_ >= MaxRenewals)
    return;
  RenewalTimer_.expires_after(
      std::max<Duration>(*Pool_->IdleTime_ / 2, MinRenewalPeriod));
  RenewalTimer_.async_wait([Self = weak_from_this()](asio::error_code Failure) {
    auto const Alive = Self.lock();
    if (!Failure && Alive)
      Alive->renew();
  });
}

void AnswerWitness::renew() {
  if (IsEnded_ || Next_ || !IsAnswerOpen_())
    return;
  ++Renewals_;
  Next_ = ProcessWitness::connect(Pool_);
  follow(Next_);
  Next_->whenReady([Self = shared_from_this(), Opened = Next_.get()] {
    if (Self->IsEnded_ || Opened != Self->Next_.get() || !Opened->isOpen())
      return;
    if (!Self->IsAnswerOpen_())
      return std::exchange(Self->Next_, nullptr)->cancel();
    if (auto const Old = std::exchange(Self->Current_, nullptr))
      Old->cancel();
    Self->Current_ = std::exchange(Self->Next_, nullptr);
    Self->IsEarlier_ = true;
    Self->IsNew_ = true;
    Self->OpenedAt_ = readClock();
    Self->armRenewal();
  });
}

std::shared_ptr<ProcessWitness> AnswerWitness::take() {
  IsEnded_ = true;
  RenewalTimer_.cancel();
  if (auto const Next = std::exchange(Next_, nullptr))
    Next->cancel();
  return std::exchange(Current_, nullptr);
}

void AnswerWitness::cancel() {
  if (auto const Taken = take())
    Taken->cancel();
}

} // namespace laburnum
