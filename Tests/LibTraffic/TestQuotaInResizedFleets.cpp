#include "QuotaFixture.h"

#include <LibControl/ConsumptionCollector.h>
#include <LibPeer/PeerMessage.h>
#include <LibTraffic/AccountQuotaLimiter.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

using namespace laburnum;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

AccountName const Account("a");
constexpr double Rate = 1000000.0;
constexpr double AllowedSlack = 140000.0;
constexpr double RequestSize = 1000.0;
constexpr Duration Step = milliseconds(50);
/// From the loss of an instance until the others notice.
constexpr Duration NoticeTime = milliseconds(1500);

/// How instances leave a fleet.
enum class Departure { Known, Unnoticed };

/// A fleet that serves one account and changes its size, in steps of 50 ms. A
/// message takes one step.
class ResizedFleet {
public:
  explicit ResizedFleet(std::size_t Size) {
    resize(Size, Departure::Known);
    pass(seconds(8), 0.0);
  }

  void resize(std::size_t Size, Departure How) {
    while (Instances_.size() < Size) {
      auto Added = std::make_unique<Instance>(selfOf(Started_++));
      Added->Limiter_.setTable(test::tableWith(Rate), Now_);
      Added->NextReport_ = Now_ + Step * (Started_ % 5);
      Instances_.push_back(std::move(Added));
    }
    // Collectors are among those that leave.
    while (Instances_.size() > Size)
      Instances_.erase(firstToLeave());
    if (How == Departure::Known)
      return updateMembers();
    NoticedAt_ = Now_ + NoticeTime;
  }

  /// Offers the account's requests to all instances in turn. Returns the share
  /// that was admitted.
  double pass(Duration Length, double AskedPerSecond) {
    double Asked = 0.0;
    double Admitted = 0.0;
    double Outstanding = 0.0;
    for (auto const End = Now_ + Length; Now_ < End;) {
      step();
      Outstanding +=
          AskedPerSecond * std::chrono::duration<double>(Step).count();
      double Sum = 0.0;
      for (; Outstanding >= RequestSize; Outstanding -= RequestSize) {
        auto &Chosen = *Instances_[++Sent_ % Instances_.size()];
        Asked += RequestSize;
        if (!Chosen.Limiter_.admit(Account, RequestSize, Now_))
          Sum += RequestSize;
      }
      Admitted += Sum;
      Periods_.push_back(Sum);
    }
    return Asked > 0.0 ? Admitted / Asked : 1.0;
  }

  /// The maximum admitted in eight seconds, relative to the quota's limit.
  double maxShareOfLimit() const {
    return test::maxInSpan(Periods_,
                           static_cast<std::size_t>(seconds(8) / Step)) /
           ((Rate * 8 + Rate) * 1.1 + AllowedSlack);
  }

  /// Cuts the fleet into halves that do not hear each other.
  void cut(bool IsCut) { IsCut_ = IsCut; }

  /// While collectors are silent, neither their sums nor reports to them
  /// arrive.
  void silenceCollectors(bool IsSilent) { AreCollectorsSilent_ = IsSilent; }

private:
  struct Instance {
    explicit Instance(EntryInstance const &Self)
        : Self_(Self), Collector_(Self),
          Limiter_({milliseconds(250), 0.04, AllowedSlack * 0.3}) {}

    EntryInstance Self_;
    ConsumptionCollector Collector_;
    AccountQuotaLimiter Limiter_;
    TimePoint NextReport_{};
  };
  using Instances = std::vector<std::unique_ptr<Instance>>;
  struct Sender {
    InstanceId Id_;
    int Side_;
  };

  static int sideOf(std::uint16_t Port) { return Port % 2; }

  static EntryInstance selfOf(std::size_t Number) {
    EntryInstance Self;
    Self.Id_ = InstanceId("i" + std::to_string(Number));
    Self.DataCentre_ = DataCentre("dc" + std::to_string(Number % 3));
    Self.Peers_ = {"h", static_cast<std::uint16_t>(Number + 1)};
    return Self;
  }

  Instances::iterator firstToLeave() {
    auto const Collects =
        std::find_if(Instances_.begin(), Instances_.end(), [](auto const &One) {
          return One->Collector_.isCollector();
        });
    return Collects == Instances_.end() ? Instances_.begin() : Collects;
  }

  void updateMembers() {
    NoticedAt_.reset();
    std::vector<Member> Members;
    for (auto const &One : Instances_)
      Members.push_back({One->Self_, Liveness::Live, 0, 0, {}});
    for (auto const &One : Instances_) {
      One->Collector_.setMembers(Members, Now_);
      One->Limiter_.setRegistered(Members.size());
    }
  }

  void step() {
    Now_ += Step;
    if (NoticedAt_ && Now_ >= *NoticedAt_)
      updateMembers();
    for (auto const &[From, To, Message] : std::exchange(Messages_, {}))
      for (auto const &One : Instances_)
        if (One->Self_.Peers_.Port_ == To &&
            !(IsCut_ && From.Side_ != sideOf(To)))
          receive(*One, From.Id_, Message);
    for (auto const &One : Instances_)
      if (Now_ >= One->NextReport_)
        report(*One);
  }

  void report(Instance &One) {
    auto const Period = One.Collector_.period();
    One.NextReport_ = Now_ + Period;
    One.Limiter_.setPeriod(Period);
    One.Limiter_.setSource(One.Collector_.isDirect()
                               ? AccountQuotaLimiter::Source::Peers
                               : AccountQuotaLimiter::Source::Collectors,
                           Now_);
    auto const Report = One.Limiter_.report(Now_);
    One.Collector_.onReport(One.Self_.Id_, Report, Now_);
    if (One.Collector_.isDirect()) {
      for (auto const &Other : Instances_)
        if (Other.get() != &One)
          send(One, Other->Self_.Peers_, Report);
      return;
    }
    if (AreCollectorsSilent_)
      return;
    for (auto const &Target : One.Collector_.targets(Now_))
      send(One, Target, Report);
    if (!One.Collector_.isCollector())
      return;
    auto const Sum = One.Collector_.sum(Duration(0), Now_);
    for (auto const &Child : One.Collector_.rootChildren())
      send(One, Child, Sum);
    One.Limiter_.onSum(Sum, Now_);
  }

  void send(Instance const &From, Endpoint const &To,
            PeerMessage const &Message) {
    Messages_.emplace_back(
        Sender{From.Self_.Id_, sideOf(From.Self_.Peers_.Port_)}, To.Port_,
        Message);
  }

  void receive(Instance &One, InstanceId const &From,
               PeerMessage const &Message) {
    bool const IsDirect = One.Collector_.isDirect();
    if (auto const *const Report = std::get_if<ConsumptionReport>(&Message)) {
      One.Collector_.onReport(From, *Report, Now_);
      if (IsDirect)
        One.Limiter_.onReport(From, *Report, Now_);
      return;
    }
    auto const &Sum = std::get<ConsumptionSum>(Message);
    for (auto const &Child : One.Collector_.onSum(Sum, Now_))
      send(One, Child, Sum);
    if (!IsDirect)
      One.Limiter_.onSum(Sum, Now_);
  }

  Instances Instances_;
  std::vector<std::tuple<Sender, std::uint16_t, PeerMessage>> Messages_;
  std::vector<double> Periods_; ///< Tokens admitted in each step.
  std::optional<TimePoint> NoticedAt_;
  bool AreCollectorsSilent_ = false;
  bool IsCut_ = false;
  std::size_t Started_ = 0;
  std::size_t Sent_ = 0;
  TimePoint Now_{std::chrono::hours(1)};
};

using Sizes = std::vector<std::size_t>;

} // namespace

// Guards against refusing requests within the quota after instances have begun
// or ceased to report to collectors.
TEST_CASE("An account is served within its quota whatever size its fleet "
          "changes to") {
  auto const Sizes = GENERATE(
      ::Sizes{13, 12}, ::Sizes{14, 11}, ::Sizes{18, 6}, ::Sizes{14, 13},
      ::Sizes{24, 14}, ::Sizes{12, 13}, ::Sizes{6, 20}, ::Sizes{13, 20},
      ::Sizes{12, 13, 12}, ::Sizes{13, 12, 13, 12}, ::Sizes{8, 20, 8, 20});
  auto const How = GENERATE(Departure::Known, Departure::Unnoticed);
  CAPTURE(Sizes, How);
  constexpr double Asked = 0.55 * Rate;
  ResizedFleet Fleet(Sizes.front());
  REQUIRE(Fleet.pass(seconds(10), Asked) > 0.99);
  for (std::size_t Each = 1; Each < Sizes.size(); ++Each) {
    CAPTURE(Each);
    Fleet.resize(Sizes[Each], How);
    Fleet.pass(seconds(5), Asked);
    CHECK(Fleet.pass(seconds(15), Asked) > 0.99);
  }
}

namespace {

/// Changes the fleet's size again and again, of an account far above its quota,
/// and returns the highest share of its limit.
double maxShareOfLimit(Sizes const &Sizes, Duration Between) {
  ResizedFleet Fleet(Sizes.front());
  for (auto const Size : Sizes) {
    Fleet.resize(Size, Departure::Known);
    Fleet.pass(Between, 3.0 * Rate);
  }
  Fleet.pass(seconds(10), 3.0 * Rate);
  return Fleet.maxShareOfLimit();
}

} // namespace

TEST_CASE("The quota holds whatever size its fleet changes to") {
  auto const Sizes =
      GENERATE(::Sizes{13, 12}, ::Sizes{24, 14}, ::Sizes{6, 20}, ::Sizes{8, 20},
               ::Sizes{20, 8}, ::Sizes{12, 13, 12, 13, 12, 13, 12});
  auto const Between = GENERATE(seconds(2), seconds(10));
  CAPTURE(Sizes, Between.count());
  CHECK(maxShareOfLimit(Sizes, Between) <= 1.0);
}

TEST_CASE("The quota holds where a fleet of eight grows to twenty twice") {
  auto const Between = GENERATE(seconds(2), seconds(10));
  CAPTURE(Between.count());
  CHECK(maxShareOfLimit({8, 20, 8, 20}, Between) <= 1.0);
}

TEST_CASE("Instances that hear no collector serve their equal shares, and all "
          "of the quota once they hear one again") {
  auto const Size = GENERATE(13U, 20U, 30U);
  CAPTURE(Size);
  ResizedFleet Fleet(Size);
  REQUIRE(Fleet.pass(seconds(10), 0.55 * Rate) > 0.99);
  Fleet.silenceCollectors(true);
  Fleet.pass(seconds(3), 0.55 * Rate);
  CHECK(Fleet.pass(seconds(15), 0.55 * Rate) > 0.9);
  Fleet.silenceCollectors(false);
  Fleet.pass(seconds(5), 0.55 * Rate);
  CHECK(Fleet.pass(seconds(10), 0.55 * Rate) > 0.99);
  CHECK(Fleet.maxShareOfLimit() <= 1.0);
}

namespace {

/// Cuts a fleet into halves that do not hear each other for that long, and
/// checks that they serve their shares of the quota, and all of it afterwards.
void checkHalves(std::size_t Size, Duration Length) {
  CAPTURE(Size, Length.count());
  constexpr double Asked = 0.45 * Rate;
  ResizedFleet Fleet(Size);
  REQUIRE(Fleet.pass(seconds(10), Asked) > 0.99);
  Fleet.cut(true);
  Fleet.pass(seconds(2), Asked);
  CHECK(Fleet.pass(Length, Asked) > 0.9);
  Fleet.cut(false);
  Fleet.pass(seconds(2), Asked);
  CHECK(Fleet.pass(seconds(10), Asked) > 0.99);
  CHECK(Fleet.maxShareOfLimit() <= 1.0);
}

} // namespace

// Guards against charging instances once more for what others consumed of their
// own shares while they did not hear each other.
TEST_CASE("Halves of a fleet of up to twelve serve their shares while they do "
          "not hear each other, and all of the quota once they do") {
  checkHalves(GENERATE(2U, 6U, 12U), GENERATE(seconds(2), seconds(15)));
}

TEST_CASE("Halves of a fleet with collectors serve their shares while they do "
          "not hear each other, and all of the quota once they do") {
  checkHalves(GENERATE(13U, 20U), GENERATE(seconds(2), seconds(15)));
}
