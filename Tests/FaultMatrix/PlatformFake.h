#pragma once

#include <FaultMatrix/EventQueue.h>
#include <FaultMatrix/Fault.h>

#include <Fakes/VersionedStore.h>
#include <LibPlatform/ObjectStore.h>

#include <functional>
#include <optional>
#include <set>

namespace laburnum::faults {

enum class PlatformPace { Normal, Slow };

/// The platform's object API in virtual time. Requests and answers have a
/// latency, so that a fault can occur between the sending of a write, its
/// effect and its answer.
class PlatformFake {
public:
  template <typename Value> using Answer = std::function<void(Result<Value>)>;

  static constexpr Duration MessageLatency = std::chrono::milliseconds(1);
  static constexpr Duration SlowMessageLatency =
      std::chrono::milliseconds(2500);
  static constexpr Duration Timeout = std::chrono::seconds(1);
  static constexpr Duration WatchWait = std::chrono::milliseconds(200);

  PlatformFake(EventQueue &Queue, Mutants const &ActiveMutants)
      : Queue_(Queue), ActiveMutants_(ActiveMutants), Store_(1U << 16) {}

  void get(std::size_t Instance, ObjectKey const &Key,
           Answer<StoredObject> Callback);
  void put(std::size_t Instance, ObjectKey const &Key, Version Expected,
           std::string const &Value, Answer<Version> Callback);
  void list(std::size_t Instance, std::string const &Collection,
            Answer<ObjectList> Callback);
  void watch(std::size_t Instance, std::string const &Collection, Version From,
             Answer<WatchBatch> Callback);

  bool reaches(std::size_t Instance) const {
    return Outages_ == 0 && !Cut_.contains(Instance);
  }
  VersionedStore &store() { return Store_; }

  // Faults.
  /// Outages may overlap: each one ends separately.
  void beginOutage() { ++Outages_; }
  void endOutage() {
    if (Outages_ > 0)
      --Outages_;
  }
  void endOutages() { Outages_ = 0; }
  void setPace(PlatformPace Pace) { Pace_ = Pace; }
  void cut(std::size_t Instance) { Cut_.insert(Instance); }
  void healCuts() { Cut_.clear(); }
  void loseAnswers(std::uint32_t Count) { AnswersToLose_ = Count; }
  void serveReadsAsOf(std::optional<Version> AsOf) { ReadsAsOf_ = AsOf; }
  void breakWatches(std::uint32_t Count) { WatchesToBreak_ = Count; }
  /// Then is called after the next operator's write is sent and before it
  /// arrives.
  void beforeOperatorsPut(std::function<void()> Callback) {
    BeforePut_ = std::move(Callback);
  }

  /// The platform goes down after the next operator's write has taken effect.
  void goDownAfterOperatorsPut() { IsDownAfterPut_ = true; }

  // Blocking calls, for the operators' ChangeWriter.
  Result<StoredObject> getNow(std::size_t Instance, ObjectKey const &Key);
  Result<Version> putNow(std::size_t Instance, ObjectKey const &Key,
                         Version Expected, std::string const &Value);

private:
  template <typename Value>
  void call(std::size_t Instance, Error const &Lost, Duration Wait,
            std::function<std::optional<Result<Value>>()> Effect,
            Answer<Value> Callback);
  StoredObject read(ObjectKey const &Key) const;
  Result<Version> write(ObjectKey const &Key, Version Expected,
                        std::string const &Value);
  Error lostWrite() const;
  bool losesAnswer();
  Duration pace() const {
    return Pace_ == PlatformPace::Slow ? SlowMessageLatency : MessageLatency;
  }

  EventQueue &Queue_;
  Mutants const &ActiveMutants_;
  VersionedStore Store_;
  std::uint32_t Outages_ = 0;
  bool IsDownAfterPut_ = false;
  PlatformPace Pace_ = PlatformPace::Normal;
  std::set<std::size_t> Cut_;
  std::uint32_t AnswersToLose_ = 0;
  std::uint32_t WatchesToBreak_ = 0;
  std::optional<Version> ReadsAsOf_;
  std::function<void()> BeforePut_;
};

/// The operators' access to the platform through one instance. Its calls take
/// no virtual time.
class OperatorStore : public ObjectStore {
public:
  OperatorStore(PlatformFake &Platform, std::size_t Instance)
      : Platform_(Platform), Instance_(Instance) {}

  Result<StoredObject> get(ObjectKey const &Key, Duration) override {
    return Platform_.getNow(Instance_, Key);
  }
  Result<ObjectList> list(std::string const &, Duration) override;
  Result<Version> putIf(ObjectKey const &Key, Version Expected,
                        std::string const &Value, Duration) override {
    return Platform_.putNow(Instance_, Key, Expected, Value);
  }
  Result<WatchBatch> watch(std::string const &, Version, Duration) override;

private:
  PlatformFake &Platform_;
  std::size_t const Instance_;
};

} // namespace laburnum::faults
