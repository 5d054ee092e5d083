#include <LibHttp/AnswerWitness.h>

#include <LibHttp/OutboundPool.h>

#include <utility>

namespace laburnum {

namespace {

/// How often one answer's connection is opened again after it was lost.
constexpr std::uint32_t MaxLosses = 8;
/// Connections that end within this time have ended together.
constexpr std::chrono::milliseconds Simultaneous{20};

} // namespace

std::shared_ptr<AnswerWitness>
AnswerWitness::create(std::shared_ptr<OutboundPool> Pool,
                      IsAnswerOpen IsAnswerOpen) {
  return std::shared_ptr<AnswerWitness>(
      new AnswerWitness(std::move(Pool), std::move(IsAnswerOpen)));
}

AnswerWitness::AnswerWitness(std::shared_ptr<OutboundPool> Pool,
                             IsAnswerOpen IsAnswerOpen)
    : Pool_(std::move(Pool)), IsAnswerOpen_(std::move(IsAnswerOpen)) {}

void AnswerWitness::openBeforeRequest(Ready Ready) {
  Current_ = ProcessWitness::connect(Pool_);
  follow(Current_);
  Current_->whenReady([Self = shared_from_this(), Ready = std::move(Ready)] {
    if (Self->IsEnded_)
      return;
    Self->IsEarlier_ = true;
    Ready();
  });
}

void AnswerWitness::open(std::optional<std::string> const &Process) {
  Current_ = Process ? ProcessWitness::connectTo(*Process, Pool_)
                     : ProcessWitness::connect(Pool_);
  follow(Current_);
  Current_->whenReady([Self = shared_from_this()] {
    if (Self->IsEnded_)
      return;
    Self->IsEarlier_ = Self->IsAnswerOpen_();
  });
}

void AnswerWitness::follow(std::shared_ptr<ProcessWitness> const &Opened) {
  Opened->whenLost(
      [Self = shared_from_this(), Lost = Opened.get()](ConnectionEnd End) {
        if (Self->IsEnded_)
          return;
        if (Lost == Self->Current_.get())
          Self->onLost(End, readClock());
      });
}

void AnswerWitness::onLost(ConnectionEnd End, TimePoint Now) {
  Current_.reset();
  bool const WasEarlier = std::exchange(IsEarlier_, false);
  if (WasEarlier && End == ConnectionEnd::Orderly)
    ClosedAt_ = Now;
  if (!IsAnswerOpen_())
    return;
  if (++Losses_ < MaxLosses)
    open(std::nullopt);
}

bool AnswerWitness::wasClosedWithAnswer(TimePoint Now) const {
  return !IsEarlier_ && ClosedAt_ && Now - *ClosedAt_ < Simultaneous;
}

std::shared_ptr<ProcessWitness> AnswerWitness::take() {
  IsEnded_ = true;
  return std::exchange(Current_, nullptr);
}

void AnswerWitness::cancel() {
  if (auto const Taken = take())
    Taken->cancel();
}

} // namespace laburnum
