#pragma once

#include <LibPlatform/ObjectStore.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>

namespace laburnum::test {

/// The scripted outcome of one write.
enum class WriteOutcome {
  Normal,
  LostAnswer,  ///< Takes effect; the answer is lost.
  LostRequest, ///< Takes no effect; the outcome is unknown.
  Delayed,     ///< As LostRequest, until deliverDelayedWrite() applies it.
  Unavailable,
};

/// An object store in memory whose writes and reads fail as scripted.
class ScriptedStore : public ObjectStore {
public:
  std::deque<WriteOutcome> Writes_;
  /// The number of next reads that return the object before its last change.
  int StaleReads_ = 0;
  int FailedReads_ = 0;
  /// Runs once, before the next write takes effect.
  std::function<void()> BeforeWrite_;

  Result<StoredObject> get(ObjectKey const &Key, Duration) override {
    if (FailedReads_ > 0 && FailedReads_--)
      return Error{ErrorKind::Unavailable, "down", "wait"};
    if (StaleReads_ > 0 && StaleReads_--)
      return Previous_[Key];
    return Objects_[Key];
  }

  Result<ObjectList> list(std::string const &, Duration) override {
    return ObjectList{};
  }

  Result<Version> putIf(ObjectKey const &Key, Version Expected,
                        std::string const &Value, Duration) override {
    if (BeforeWrite_)
      std::exchange(BeforeWrite_, nullptr)();
    auto Scripted = WriteOutcome::Normal;
    if (!Writes_.empty()) {
      Scripted = Writes_.front();
      Writes_.pop_front();
    }
    Error const Unknown{ErrorKind::OutcomeUnknown, "lost", "read back"};
    if (Scripted == WriteOutcome::Unavailable)
      return Error{ErrorKind::Unavailable, "down", "wait"};
    if (Scripted == WriteOutcome::Delayed)
      DelayedWrite_ = [=, this] { store(Key, Expected, Value); };
    if (Scripted == WriteOutcome::Delayed ||
        Scripted == WriteOutcome::LostRequest)
      return Unknown;
    auto Outcome = store(Key, Expected, Value);
    return Scripted == WriteOutcome::LostAnswer ? Unknown : Outcome;
  }

  Result<WatchBatch> watch(std::string const &, Version, Duration) override {
    return WatchBatch{};
  }

  void deliverDelayedWrite() { std::exchange(DelayedWrite_, nullptr)(); }

private:
  Result<Version> store(ObjectKey const &Key, Version Expected,
                        std::string const &Value) {
    auto &Held = Objects_[Key];
    if (Held.Version_ != Expected)
      return Error{ErrorKind::Conflict, std::to_string(Held.Version_), "read"};
    Previous_[Key] = Held;
    Held = {Key, ++Version_, Value};
    return Version_;
  }

  std::map<ObjectKey, StoredObject> Objects_;
  std::map<ObjectKey, StoredObject> Previous_;
  Version Version_ = 0;
  std::function<void()> DelayedWrite_;
};

} // namespace laburnum::test
