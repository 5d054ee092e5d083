#include <LibControl/CrashReportDissemination.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <set>
#include <string>

using namespace laburnum;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t Content = 4711;
constexpr std::size_t MostCrashes = 3;
/// Messages for each instance until all refuse a content, with reminders for
/// ten seconds.
constexpr std::size_t MostMessages = 15;
/// A message takes this long.
constexpr Duration Way = milliseconds(10);
/// In which all know of the third crash, by the users' rule.
constexpr Duration Contact = seconds(3);
AttemptEvidence const Broken{AttemptProgress::RequestSent,
                             AttemptEnd::ConnectionFailed, 0, ""};

EntryInstance instance(std::size_t Number, std::uint64_t Life) {
  EntryInstance Made;
  Made.Id_ =
      InstanceId("e" + std::to_string(Number) + '.' + std::to_string(Life));
  Made.Peers_ = {"10.0.0.1", static_cast<std::uint16_t>(1000 + Number)};
  return Made;
}

/// Instances that tell each other of crashes; every server crashes under the
/// content.
struct Fleet {
  struct Instance {
    Instance(std::size_t Number, std::uint64_t Life)
        : Self_(instance(Number, Life)),
          Guard_(Number * 1000 + Life, {MostCrashes}), News_(Self_, Guard_) {}

    EntryInstance Self_;
    CrashGuard Guard_;
    CrashReportDissemination News_;
  };

  explicit Fleet(std::size_t Count) {
    for (std::size_t Each = 0; Each < Count; ++Each)
      Instances_.push_back(std::make_unique<Instance>(Each, 0));
    tellMembers();
  }

  void tellMembers() {
    std::vector<Member> Members;
    for (auto const &One : Instances_) {
      Member Known;
      Known.Instance_ = One->Self_;
      Members.push_back(Known);
    }
    for (auto &One : Instances_)
      post(One->News_.setMembers(Members, Now_));
  }

  void restart(std::size_t Number) {
    Instances_[Number] = std::make_unique<Instance>(Number, ++Lives_);
    tellMembers();
  }

  void post(std::vector<SendToPeer> const &News) {
    Messages_ += News.size();
    for (auto const &One : News)
      if (!LosesMessages_)
        OnTheWay_.push_back({Now_ + Way, One});
  }

  void pass(Duration Time) {
    for (auto const End = Now_ + Time; Now_ < End; Now_ += Way) {
      while (!OnTheWay_.empty() && OnTheWay_.front().At_ <= Now_) {
        auto const Next = OnTheWay_.front().What_;
        OnTheWay_.pop_front();
        deliver(Next);
      }
      if (Now_ >= NextMember_) {
        NextMember_ = Now_ + seconds(1);
        for (auto &One : Instances_)
          post(One->News_.onTimePassed(Now_));
      }
    }
  }

  void deliver(SendToPeer const &Next) {
    for (auto &One : Instances_)
      if (One->Self_.Peers_ == Next.To_)
        post(One->News_.onPeer(std::get<CrashReports>(Next.Message_), Now_));
  }

  bool isRefusedAt(std::size_t Number) const {
    return Instances_[Number]->Guard_.verdict(Content, Now_) ==
           CrashVerdict::Refuse;
  }
  bool isRefusedByAll() const {
    for (std::size_t Each = 0; Each < Instances_.size(); ++Each)
      if (!isRefusedAt(Each))
        return false;
    return true;
  }

  /// Sends the content there; false when it is refused.
  bool send(std::size_t Number) {
    if (isRefusedAt(Number))
      return false;
    auto &Guard = Instances_[Number]->Guard_;
    ServerId const Server("s" + std::to_string(++Crashed_));
    Guard.onStarted(Content, Server, Company::Shared);
    post(Instances_[Number]->News_.onLocalReports(
        Guard.onEnded(Content, Server, Broken, Now_), Now_));
    return true;
  }

  struct Message {
    TimePoint At_;
    SendToPeer What_;
  };

  std::vector<std::unique_ptr<Instance>> Instances_;
  std::deque<Message> OnTheWay_;
  TimePoint Now_{};
  TimePoint NextMember_{};
  std::size_t Crashed_ = 0;
  std::size_t Messages_ = 0;
  std::uint64_t Lives_ = 0;
  bool LosesMessages_ = false;
};

} // namespace

TEST_CASE("A content that crashes servers is refused by all instances once "
          "three have crashed") {
  auto const Count = GENERATE(std::size_t(1), 8, 77, 295);
  Fleet Fleet(Count);
  std::mt19937 Generator(1);
  for (int Sent = 0; Sent < 40; ++Sent) {
    Fleet.send(Generator() % Count);
    Fleet.pass(milliseconds(250));
  }
  CHECK(Fleet.Crashed_ == MostCrashes);
  CHECK(Fleet.isRefusedByAll());
  CHECK(Fleet.Messages_ < MostMessages * Count);
}

TEST_CASE("A starting instance receives the refused contents") {
  Fleet Fleet(8);
  for (std::size_t Sent = 0; Sent < MostCrashes; ++Sent)
    Fleet.send(Sent);
  Fleet.pass(milliseconds(100));
  REQUIRE(Fleet.isRefusedByAll());
  // One after the other, so that each keeper is gone once.
  for (std::size_t Each = 0; Each < 8; ++Each) {
    Fleet.restart(Each);
    Fleet.pass(milliseconds(500));
    CHECK(Fleet.isRefusedByAll());
  }
  CHECK(Fleet.Crashed_ == MostCrashes);
}

TEST_CASE("Incidents known to lost coordinators are sent to the next ones") {
  Fleet Fleet(8);
  Fleet.send(0);
  Fleet.send(1);
  Fleet.pass(milliseconds(100));
  for (std::size_t Each = 2; Each < 8; ++Each) {
    Fleet.restart(Each);
    Fleet.pass(milliseconds(100));
  }
  Fleet.send(2);
  Fleet.pass(milliseconds(100));
  CHECK(Fleet.isRefusedByAll());
}

TEST_CASE("A refusal that was lost in transit is repeated in time") {
  Fleet Fleet(8);
  Fleet.send(0);
  Fleet.send(0);
  Fleet.pass(milliseconds(100));
  Fleet.LosesMessages_ = true;
  Fleet.send(0);
  Fleet.pass(milliseconds(100));
  Fleet.LosesMessages_ = false;
  Fleet.pass(Contact);
  CHECK(Fleet.isRefusedByAll());
}

TEST_CASE("A content that is cleared is accepted again by all instances") {
  Fleet Fleet(8);
  auto &Guard = Fleet.Instances_[5]->Guard_;
  Guard.onStarted(Content, ServerId("well"), Company::Shared);
  for (std::size_t Sent = 0; Sent < MostCrashes; ++Sent)
    Fleet.send(Sent);
  Fleet.pass(milliseconds(100));
  REQUIRE(Fleet.isRefusedByAll());
  AttemptEvidence const Whole{AttemptProgress::AnswerWhole,
                              AttemptEnd::Answered, 200, ""};
  Fleet.post(Fleet.Instances_[5]->News_.onLocalReports(
      Guard.onEnded(Content, ServerId("well"), Whole, Fleet.Now_), Fleet.Now_));
  SECTION("at once") { Fleet.pass(milliseconds(100)); }
  SECTION("also when the first message is lost") {
    Fleet.OnTheWay_.clear();
    Fleet.pass(Contact);
  }
  for (std::size_t Each = 0; Each < 8; ++Each)
    CHECK_FALSE(Fleet.isRefusedAt(Each));
}
