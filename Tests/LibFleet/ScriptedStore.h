#pragma once

#include <LibPlatform/ObjectStore.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>

namespace laburnum::test {

/// What happens to one write, in the order of the script.
enum class WriteOutcome {
  Normal,
  LostAnswer,  ///< Takes effect; the answer is lost.
  LostRequest, ///< Takes no effect; the outcome is unknown.
  Delayed,     ///< As LostRequest, but arrives with arrive().
  Unavailable,
};

/// An object store in memory whose writes and reads fail by script.
class ScriptedStore : public ObjectStore {
public:
  std::deque<WriteOutcome> Writes_;
  /// Reads that show the object as it was before its last change.
  int StaleReads_ = 0;
  int FailedReads_ = 0;
  /// Runs before the next write is decided, once.
  std::function<void()> BeforeWrite_;

  Result<StoredObject> get(ObjectKey const &Key, Duration) override {
    if (FailedReads_ > 0 && FailedReads_--)
      return Error{ErrorKind::Unavailable, "down", "wait"};
    if (StaleReads_ > 0 && StaleReads_--)
      return Old_[Key];
    return Objects_[Key];
  }

  Result<ObjectList> list(std::string const &, Duration) override {
    return ObjectList{};
  }

  Result<Version> putIf(ObjectKey const &Key, Version Expected,
                        std::string const &Value, Duration) override {
    if (BeforeWrite_)
      std::exchange(BeforeWrite_, nullptr)();
    auto Fate = WriteOutcome::Normal;
    if (!Writes_.empty()) {
      Fate = Writes_.front();
      Writes_.pop_front();
    }
    Error const Unknown{ErrorKind::OutcomeUnknown, "lost", "read back"};
    if (Fate == WriteOutcome::Unavailable)
      return Error{ErrorKind::Unavailable, "down", "wait"};
    if (Fate == WriteOutcome::Delayed)
      Late_ = [=, this] { store(Key, Expected, Value); };
    if (Fate == WriteOutcome::Delayed || Fate == WriteOutcome::LostRequest)
      return Unknown;
    auto Outcome = store(Key, Expected, Value);
    return Fate == WriteOutcome::LostAnswer ? Unknown : Outcome;
  }

  Result<WatchBatch> watch(std::string const &, Version, Duration) override {
    return WatchBatch{};
  }

  void arrive() { std::exchange(Late_, nullptr)(); }

private:
  Result<Version> store(ObjectKey const &Key, Version Expected,
                        std::string const &Value) {
    auto &Held = Objects_[Key];
    if (Held.Version_ != Expected)
      return Error{ErrorKind::Conflict, std::to_string(Held.Version_), "read"};
    Old_[Key] = Held;
    Held = {Key, ++Version_, Value};
    return Version_;
  }

  std::map<ObjectKey, StoredObject> Objects_;
  std::map<ObjectKey, StoredObject> Old_;
  Version Version_ = 0;
  std::function<void()> Late_;
};

} // namespace laburnum::test
