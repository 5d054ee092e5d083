#include "FakeAsyncStore.h"

#include <utility>

namespace laburnum::test {

namespace {

Error const Unreachable{ErrorKind::Unavailable, "the store is down",
                        "try again"};
Error const Lost{ErrorKind::OutcomeUnknown, "the answer was lost",
                 "read it back"};

} // namespace

void FakeAsyncStore::list(std::string const &Collection,
                          ReadConsistency /*Consistency*/, Duration /*Timeout*/,
                          Done<ObjectList> Done) {
  ++Lists_;
  Answers_.push_back([this, Collection, Done = std::move(Done)] {
    if (Fault_ == StoreFault::Down)
      return Done(Unreachable);
    Done(Objects_.list(Collection));
  });
}

void FakeAsyncStore::watch(std::string const &Collection, Version From,
                           Duration /*Wait*/, Done<WatchBatch> Done) {
  Watches_.push_back({Collection, From, std::move(Done)});
}

void FakeAsyncStore::get(ObjectKey const &Key, ReadConsistency /*Consistency*/,
                         Duration /*Timeout*/, Done<StoredObject> Done) {
  Answers_.push_back([this, Key, Done = std::move(Done)] {
    if (Fault_ == StoreFault::Down)
      return Done(Unreachable);
    auto Found = Objects_.find(Key);
    Found.Era_ = Era_;
    Done(std::move(Found));
  });
}

Result<Version> FakeAsyncStore::write(ObjectKey const &Key, Version Expected,
                                      std::string const &Value) {
  if (Fault_ == StoreFault::Down)
    return Unreachable;
  auto const Written = Objects_.putIf(Key, Expected, Value);
  if (Fault_ == StoreFault::LostAnswer)
    return Lost;
  return Written;
}

void FakeAsyncStore::putIf(ObjectKey const &Key, Version Expected,
                           std::string const &Value, Duration /*Timeout*/,
                           Done<Version> Done) {
  Answers_.push_back([this, Key, Expected, Value, Done = std::move(Done)] {
    Done(write(Key, Expected, Value));
  });
}

void FakeAsyncStore::putStatusIf(ObjectKey const &Key, Version Expected,
                                 std::string const &Status,
                                 Duration /*Timeout*/, Done<Version> Done) {
  Answers_.push_back([this, Key, Expected, Status, Done = std::move(Done)] {
    auto const Found = Objects_.find(Key);
    if (Found.Version_ == Expected && Fault_ != StoreFault::Down)
      Statuses_[Key] = Status;
    Done(write(Key, Expected, Found.Value_));
  });
}

void FakeAsyncStore::put(ObjectKey const &Key, std::string const &Value,
                         Duration /*Timeout*/, Done<Version> Done) {
  Answers_.push_back([this, Key, Value, Done = std::move(Done)] {
    Done(write(Key, Objects_.find(Key).Version_, Value));
  });
}

void FakeAsyncStore::remove(ObjectKey const &Key, Duration /*Timeout*/,
                            Done<Success> Done) {
  Answers_.push_back([this, Key, Done = std::move(Done)] {
    auto const Written = write(Key, Objects_.find(Key).Version_, "");
    if (isError(Written))
      return Done(errorOf(Written));
    Done(Success{});
  });
}

std::size_t FakeAsyncStore::deliver() {
  std::size_t Count = 0;
  auto Waiting = std::exchange(Watches_, {});
  for (auto &PendingWatch : Waiting) {
    auto Batch =
        Objects_.changesAfter(PendingWatch.Collection_, PendingWatch.From_);
    bool const HasChanges =
        !Batch.Objects_.empty() || Batch.Continuity_ == WatchContinuity::Gap;
    if (Fault_ == StoreFault::Down || !HasChanges) {
      Watches_.push_back(std::move(PendingWatch));
      continue;
    }
    ++Count;
    PendingWatch.Done_(std::move(Batch));
  }
  while (!Answers_.empty()) {
    auto const Next = std::move(Answers_.front());
    Answers_.pop_front();
    ++Count;
    Next();
  }
  return Count;
}

void FakeAsyncStore::endWatches(Result<WatchBatch> const &Outcome) {
  for (auto const &PendingWatch : std::exchange(Watches_, {}))
    PendingWatch.Done_(Outcome);
}

} // namespace laburnum::test
