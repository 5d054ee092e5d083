#include <FaultMatrix/PlatformFake.h>

#include <memory>
#include <utility>

namespace laburnum::faults {

namespace {

Error unavailable() {
  return {ErrorKind::Unavailable, "the platform is out of reach", "wait"};
}

} // namespace

Error PlatformFake::lostWrite() const {
  if (ActiveMutants_.contains(Mutant::LostAnswerIsRefusal))
    return unavailable();
  return {ErrorKind::OutcomeUnknown, "the answer was lost", "read it back"};
}

bool PlatformFake::losesAnswer() {
  if (AnswersToLose_ == 0)
    return false;
  --AnswersToLose_;
  return true;
}

/// Effect returns nullopt when the answer is lost.
template <typename Value>
void PlatformFake::call(std::size_t Instance, Error const &Lost, Duration Wait,
                        std::function<std::optional<Result<Value>>()> Effect,
                        Answer<Value> Callback) {
  if (!reaches(Instance))
    return Queue_.after(MessageLatency,
                        [Callback] { Callback(unavailable()); });
  auto const Open = std::make_shared<Answer<Value>>(std::move(Callback));
  auto const Reply = [Open](Result<Value> const &Outcome) {
    if (*Open)
      std::exchange(*Open, nullptr)(Outcome);
  };
  Queue_.after(Timeout, [Reply, Lost] { Reply(Lost); });
  Queue_.after(pace() + Wait, [this, Instance, Effect, Reply, Lost] {
    if (!reaches(Instance))
      return;
    auto const Outcome = Effect();
    if (!Outcome)
      return Reply(Lost);
    Queue_.after(MessageLatency, [this, Instance, Reply, Outcome = *Outcome] {
      if (reaches(Instance))
        Reply(Outcome);
    });
  });
}

StoredObject PlatformFake::read(ObjectKey const &Key) const {
  auto Seen = Store_.findAsOf(Key, ReadsAsOf_.value_or(Store_.version()));
  if (ActiveMutants_.contains(Mutant::StaleReadsLookNew))
    Seen.Version_ = Store_.find(Key).Version_;
  return Seen;
}

Result<Version> PlatformFake::write(ObjectKey const &Key, Version Expected,
                                    std::string const &Value) {
  if (ActiveMutants_.contains(Mutant::BlindWrites))
    Expected = Store_.find(Key).Version_;
  return Store_.putIf(Key, Expected, Value);
}

void PlatformFake::get(std::size_t Instance, ObjectKey const &Key,
                       Answer<StoredObject> Callback) {
  call<StoredObject>(
      Instance, unavailable(), Duration(0),
      [this, Key] { return Result<StoredObject>(read(Key)); },
      std::move(Callback));
}

void PlatformFake::put(std::size_t Instance, ObjectKey const &Key,
                       Version Expected, std::string const &Value,
                       Answer<Version> Callback) {
  call<Version>(
      Instance, lostWrite(), Duration(0),
      [=, this]() -> std::optional<Result<Version>> {
        auto Written = write(Key, Expected, Value);
        if (losesAnswer())
          return std::nullopt;
        return Written;
      },
      std::move(Callback));
}

void PlatformFake::list(std::size_t Instance, std::string const &Collection,
                        Answer<ObjectList> Callback) {
  call<ObjectList>(
      Instance, unavailable(), Duration(0),
      [this, Collection] {
        return Result<ObjectList>(
            Store_.listAsOf(Collection, ReadsAsOf_.value_or(Store_.version())));
      },
      std::move(Callback));
}

void PlatformFake::watch(std::size_t Instance, std::string const &Collection,
                         Version From, Answer<WatchBatch> Callback) {
  call<WatchBatch>(
      Instance, unavailable(), WatchWait,
      [this, Collection, From] {
        if (WatchesToBreak_ == 0)
          return Result<WatchBatch>(Store_.changesAfter(Collection, From));
        --WatchesToBreak_;
        return Result<WatchBatch>(
            WatchBatch{WatchContinuity::Gap, Store_.version(), {}});
      },
      std::move(Callback));
}

Result<StoredObject> PlatformFake::getNow(std::size_t Instance,
                                          ObjectKey const &Key) {
  if (!reaches(Instance) || Pace_ == PlatformPace::Slow)
    return unavailable();
  return read(Key);
}

Result<Version> PlatformFake::putNow(std::size_t Instance, ObjectKey const &Key,
                                     Version Expected,
                                     std::string const &Value) {
  if (!reaches(Instance))
    return unavailable();
  if (BeforePut_)
    std::exchange(BeforePut_, nullptr)();
  if (!reaches(Instance))
    return lostWrite();
  if (Pace_ == PlatformPace::Slow) {
    Queue_.after(SlowMessageLatency,
                 [=, this] { (void)write(Key, Expected, Value); });
    return lostWrite();
  }
  auto Written = write(Key, Expected, Value);
  if (std::exchange(IsDownAfterPut_, false))
    beginOutage();
  if (!reaches(Instance) || losesAnswer())
    return lostWrite();
  return Written;
}

Result<ObjectList> OperatorStore::list(std::string const &, Duration) {
  return unavailable();
}

Result<WatchBatch> OperatorStore::watch(std::string const &, Version,
                                        Duration) {
  return unavailable();
}

} // namespace laburnum::faults
