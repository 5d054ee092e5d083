#include <LibControl/StreamOriginCopies.h>

#include <catch2/catch.hpp>

#include <deque>
#include <set>
#include <vector>

using namespace laburnum;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds Tick{50};

EntryInstance instance(std::size_t Number) {
  EntryInstance Made;
  Made.Id_ = InstanceId("i" + std::to_string(Number));
  Made.DataCentre_ = DataCentre("a-1");
  Made.Peers_ = {"10.0.0." + std::to_string(Number), 7500};
  return Made;
}

StreamOrigin origin(std::string const &Version) {
  return {ServiceName("wri/ter"), Version};
}

/// Instances whose messages arrive at once, unless one of them is cut off.
struct Fixture {
  explicit Fixture(std::size_t Count = 8) {
    for (std::size_t Number = 0; Number < Count; ++Number) {
      Members_.push_back({instance(Number), Liveness::Live});
      Fleet_.emplace_back(instance(Number));
    }
    for (auto &Instance : Fleet_)
      Instance.setMembers(Members_);
  }

  void send(std::size_t From, std::vector<SendToPeer> const &Messages) {
    for (auto const &Message : Messages) {
      ++Sent_;
      for (std::size_t To = 0; To < Fleet_.size(); ++To)
        if (instance(To).Peers_ == Message.To_ && !CutOff_.contains(From) &&
            !CutOff_.contains(To))
          receive(To, Message.Message_);
    }
  }
  void receive(std::size_t At, PeerMessage const &Message) {
    if (auto const *const Update = std::get_if<StoreUpdate>(&Message))
      CHECK(Fleet_[At].onUpdate(*Update, Now_));
    else if (auto const Answer =
                 Fleet_[At].onRequest(std::get<SnapshotRequest>(Message), Now_))
      send(At, {*Answer});
  }
  void begin(std::size_t At, std::string const &Stream,
             std::string const &Version) {
    send(At, Fleet_[At].onBegun({Stream, origin(Version)}, Now_));
  }
  void pass(Duration Time) {
    for (auto const End = Now_ + Time; Now_ < End;) {
      Now_ += Tick;
      for (auto &Instance : Fleet_)
        Instance.tick(Now_);
    }
  }
  std::optional<StreamOrigin> find(std::size_t At, std::string const &Stream) {
    std::optional<StreamOrigin> Found;
    bool HasEnded = false;
    send(At, Fleet_[At].find(Stream, Now_, [&](auto const &Origin) {
      CHECK_FALSE(HasEnded);
      HasEnded = true;
      Found = Origin;
    }));
    auto const AskedAt = Now_;
    while (!HasEnded)
      pass(Tick);
    CHECK(Now_ - AskedAt <= milliseconds(100));
    CHECK_FALSE(Fleet_[At].isBusy());
    return Found;
  }

  std::vector<Member> Members_;
  std::deque<StreamOriginCopies> Fleet_;
  std::set<std::size_t> CutOff_;
  TimePoint Now_{seconds(100)};
  std::size_t Sent_ = 0;
};

} // namespace

TEST_CASE("The origin of a stream is known everywhere while its instance or a "
          "holder of a copy is there") {
  Fixture Fleet;
  for (int Stream = 0; Stream < 50; ++Stream)
    Fleet.begin(0, "s" + std::to_string(Stream),
                Stream % 2 == 0 ? "v1" : "v 2");
  SECTION("all are there") {}
  SECTION("its instance was killed, and the others have not noticed") {
    Fleet.CutOff_ = {0};
  }
  SECTION("its instance was killed, and the others have noticed") {
    Fleet.CutOff_ = {0};
    Fleet.Members_.front().Liveness_ = Liveness::Gone;
    for (auto &Instance : Fleet.Fleet_)
      Instance.setMembers(Fleet.Members_);
  }
  for (int Stream = 0; Stream < 50; ++Stream)
    CHECK(Fleet.find(1 + static_cast<std::size_t>(Stream) % 7,
                     "s" + std::to_string(Stream)) ==
          origin(Stream % 2 == 0 ? "v1" : "v 2"));
  CHECK_FALSE(Fleet.find(1, "unknown"));
  CHECK_FALSE(Fleet.find(1, ""));
}

TEST_CASE("An instance that is cut off knows only what it holds, and says so "
          "in time") {
  Fixture Fleet;
  Fleet.CutOff_ = {1};
  for (int Stream = 0; Stream < 20; ++Stream)
    Fleet.begin(0, "s" + std::to_string(Stream), "v2");
  for (int Stream = 0; Stream < 20; ++Stream)
    CHECK_FALSE(Fleet.find(1, "s" + std::to_string(Stream)));
}

TEST_CASE("Several clients that take one stream up are answered alike") {
  Fixture Fleet;
  Fleet.begin(0, "s", "v1");
  std::vector<std::optional<StreamOrigin>> Answers;
  auto const Count = [&](auto const &Origin) { Answers.push_back(Origin); };
  auto &Asker = Fleet.Fleet_[1];
  auto const Asked = Asker.find("s", Fleet.Now_, Count);
  // Unless it holds a copy itself, it asks once.
  CHECK(Asker.find("s", Fleet.Now_, Count).empty());
  Fleet.send(1, Asked);
  REQUIRE(Answers.size() == 2);
  CHECK(Answers[0] == origin("v1"));
  CHECK(Answers[1] == origin("v1"));
}

TEST_CASE("Copies cost two messages for each stream") {
  Fixture Fleet;
  for (std::size_t Stream = 1; Stream <= 100; ++Stream) {
    Fleet.begin(0, "s" + std::to_string(Stream), "v1");
    CHECK(Fleet.Sent_ == 2 * Stream);
  }
  Fleet.pass(seconds(1));
  CHECK(Fleet.Sent_ == 200);
}

TEST_CASE("An instance without others answers at once") {
  Fixture Fleet(1);
  Fleet.begin(0, "s", "v1");
  CHECK(Fleet.find(0, "s") == origin("v1"));
  CHECK_FALSE(Fleet.find(0, "t"));
}

TEST_CASE("Messages about the store's collections, and malformed copies, are "
          "left alone") {
  StreamOriginCopies Copies(instance(0));
  StoreUpdate Update;
  Update.Collections_ = {{"servers", 0, 7, Duration(0), {{"x", 1, "y"}}}};
  CHECK_FALSE(Copies.onUpdate(Update, TimePoint(seconds(1))));
  CHECK_FALSE(Copies.onRequest({{}, {"servers"}}, TimePoint(seconds(1))));
  Update.Collections_ = {
      {"stream-origins", 0, 0, Duration(0), {{"s", 1, "no slash"}}}};
  CHECK(Copies.onUpdate(Update, TimePoint(seconds(1))));
  std::optional<StreamOrigin> Found = origin("v1");
  Copies.find("s", TimePoint(seconds(1)),
              [&](auto const &Origin) { Found = Origin; });
  CHECK_FALSE(Found);
}
