#include <Fakes/FakeAsyncStore.h>

#include <LibControl/StoreFollower.h>

#include <catch2/catch.hpp>

using namespace laburnum;
using test::FakeAsyncStore;
using test::StoreFault;

namespace {

Error const Broken{ErrorKind::Unavailable, "connection reset", "try again"};

struct Recorder : CollectionReader {
  void onListed(ObjectList const &Listed) override {
    ++Lists_;
    Values_.clear();
    for (auto const &Object : Listed.Objects_)
      Values_[Object.Key_.Name_] = Object.Value_;
  }
  void onChanged(WatchBatch const &Changes) override {
    for (auto const &Object : Changes.Objects_)
      Values_[Object.Key_.Name_] = Object.Value_;
  }
  void onLost(Error const &) override { ++Lost_; }
  void onRegained() override { ++Regained_; }

  std::map<std::string, std::string> Values_;
  int Lists_ = 0;
  int Lost_ = 0;
  int Regained_ = 0;
};

/// A follower without peers, which therefore reads the store itself.
struct Fixture {
  Fixture() {
    write("1");
    Follower_->start();
    settle();
  }
  ~Fixture() { Follower_->stop(); }

  void write(std::string const &Value) {
    ObjectKey const Key{"config", "main"};
    Store_.Objects_.putIf(Key, Store_.Objects_.find(Key).Version_, Value);
  }
  /// Runs timers and delivers answers until no more answers are pending.
  void settle() {
    do {
      Context_.restart();
      Context_.run_for(std::chrono::milliseconds(900));
    } while (Store_.deliver() > 0);
  }

  asio::io_context Context_;
  FakeAsyncStore Store_;
  Recorder Reader_;
  std::shared_ptr<StoreFollower> Follower_ = std::make_shared<StoreFollower>(
      Context_, Store_, EntryInstance{}, 1,
      StoreFollower::Callbacks{{{"config", &Reader_}},
                               [](SendToPeer const &) {},
                               [](relay::ReaderRoleChanged const &) {}});
};

} // namespace

TEST_CASE_METHOD(Fixture, "Changes are followed without listing again") {
  write("2");
  settle();
  write("3");
  settle();
  CHECK(Reader_.Values_["main"] == "3");
  CHECK(Store_.Lists_ == 1);
}

TEST_CASE_METHOD(
    Fixture,
    "The collection is listed again after a gap or an interrupted watch") {
  write("2");
  // The watch ends without delivering the change.
  Store_.endWatches(
      GENERATE(Result<WatchBatch>(WatchBatch{WatchContinuity::Gap, 0, {}}),
               Result<WatchBatch>(Broken)));
  settle();
  CHECK(Reader_.Values_["main"] == "2");
  CHECK(Store_.Lists_ == 2);
}

TEST_CASE_METHOD(Fixture,
                 "An outage keeps the last contents and is reported once") {
  Store_.Fault_ = StoreFault::Down;
  Store_.endWatches(Broken);
  for (int Turn = 0; Turn < 3; ++Turn) {
    Context_.restart();
    Context_.run_for(std::chrono::milliseconds(450));
    Store_.deliver();
  }
  CHECK(Reader_.Values_["main"] == "1");
  CHECK(Reader_.Lost_ == 1);
  CHECK(Reader_.Regained_ == 0);
  Store_.Fault_ = StoreFault::None;
  write("2");
  settle();
  CHECK(Reader_.Values_["main"] == "2");
  CHECK(Reader_.Regained_ == 1);
}
