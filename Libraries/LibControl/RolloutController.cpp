#include <LibControl/RolloutController.h>

#include <algorithm>
#include <utility>

namespace laburnum {

using namespace rollout;

namespace {

/// Parts of the requests that go to the target, in millionths. A bad version
/// may get a tenth over the whole time.
constexpr std::uint32_t TrialShare = 40000;
constexpr std::uint32_t EnlargedShare = 250000;
constexpr std::uint32_t FullShare = 1000000;
/// When the stages begin, as fractions of the time ordered. The rest is left
/// for the last answers of the other versions.
constexpr double EnlargedAfter = 0.55;
constexpr double FullAfter = 0.7;
/// How long the last answers of the other versions are awaited beyond the time
/// ordered.
constexpr std::chrono::seconds MaxOverrun{20};

/// Time for the reports of answers to arrive.
constexpr std::chrono::seconds ReportAllowance{1};

std::uint32_t shareOf(RolloutStage Stage) {
  switch (Stage) {
  case RolloutStage::Trial:
    return TrialShare;
  case RolloutStage::Enlarged:
    return EnlargedShare;
  case RolloutStage::Full:
  case RolloutStage::Completed:
    return FullShare;
  case RolloutStage::RolledBack:
    break;
  }
  return 0;
}

bool isFinal(RolloutStage Stage) {
  return Stage == RolloutStage::Completed || Stage == RolloutStage::RolledBack;
}

Duration fractionOf(Duration Whole, double Fraction) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Whole) * Fraction);
}

} // namespace

RolloutController::RolloutController(std::unique_ptr<VersionJudge> Judge)
    : Judge_(std::move(Judge)) {}

void RolloutController::Evidence::add(Evidence const &More) {
  Target_.Answers_ += More.Target_.Answers_;
  Target_.Bad_ += More.Target_.Bad_;
  Others_.Answers_ += More.Others_.Answers_;
  Others_.Bad_ += More.Others_.Bad_;
  OthersRunning_ += More.OthersRunning_;
}

void RolloutController::setOrder(
    ServiceName const &Service, Version Stored, std::uint64_t Identifier,
    std::variant<RolloutOrder, std::string> Decoded) {
  Orders_[Service] = {Stored, Identifier, std::move(Decoded)};
}

void RolloutController::removeOrder(ServiceName const &Service) {
  Orders_[Service] = {};
}

void RolloutController::setRecord(ServiceName const &Service,
                                  std::optional<RolloutRecord> Stored,
                                  Version Version) {
  auto &Kept = Records_[Service];
  if (Kept.Version_ != Version)
    Kept.WritePause_.onSuccess();
  Kept.Stored_ = std::move(Stored);
  Kept.Version_ = Version;
  Kept.IsWriting_ = false;
}

void RolloutController::onWriteFailed(ServiceName const &Service, ErrorKind Why,
                                      TimePoint Now) {
  auto &Kept = Records_[Service];
  Kept.IsWriting_ = false;
  Kept.IsStatusWritten_ = false;
  Kept.WritePause_.onFailure(Why, Now);
}

void RolloutController::onStatusWritten(ServiceName const &Service) {
  Records_[Service].StatusPause_.onSuccess();
}

void RolloutController::onStatusFailed(ServiceName const &Service,
                                       ErrorKind Why, TimePoint Now) {
  auto &Kept = Records_[Service];
  Kept.IsStatusWritten_ = false;
  Kept.StatusPause_.onFailure(Why, Now);
}

void RolloutController::onReport(InstanceId const &From,
                                 VersionReport const &Report) {
  Reports_[From] = Report;
}

std::map<std::string, RolloutController::Evidence>
RolloutController::evidence(ServiceName const &Service,
                            std::string const &Target) const {
  std::map<std::string, Evidence> ByRoute;
  for (auto const &[Instance, Report] : Reports_)
    for (auto const &Answers : Report.Answers_) {
      if (Answers.Service_ != Service)
        continue;
      auto &Seen = ByRoute[Answers.Route_];
      bool const IsTarget = Answers.Version_ == Target;
      auto &Counts = IsTarget ? Seen.Target_ : Seen.Others_;
      Counts.Answers_ += Answers.Answers_;
      Counts.Bad_ += Answers.Failures_ + Answers.Slow_;
      if (!IsTarget)
        Seen.OthersRunning_ += Answers.Running_;
    }
  return ByRoute;
}

std::optional<RolloutController::Step>
RolloutController::nextStep(RolloutRecord const &Stored,
                            Duration TimeOfDay) const {
  auto const &What = Stored.What_;
  Evidence Sum;
  for (auto const &[Route, Seen] : evidence(What.Service_, What.Target_)) {
    // A version may be bad on one route only.
    if (Judge_->isWorse(Seen.Target_, Seen.Others_))
      return Step{RolloutStage::RolledBack, "worse answers on " + Route, Seen};
    Sum.add(Seen);
  }
  if (Judge_->isWorse(Sum.Target_, Sum.Others_))
    return Step{RolloutStage::RolledBack, "worse answers", Sum};
  auto const Elapsed = TimeOfDay - Stored.BegunAt_;
  auto const Listed = Servers_.find(What.Service_);
  if (Listed == Servers_.end() || !Listed->second.contains(What.Target_)) {
    if (Elapsed < What.Time_)
      return std::nullopt;
    return Step{RolloutStage::RolledBack, "no server of the version", Sum};
  }
  auto const FullAt = fractionOf(What.Time_, FullAfter);
  switch (Stored.Stage_) {
  case RolloutStage::Trial:
    if (Elapsed >= fractionOf(What.Time_, EnlargedAfter))
      return Step{RolloutStage::Enlarged, "not worse so far", Sum};
    break;
  case RolloutStage::Enlarged:
    if (Elapsed >= FullAt)
      return Step{RolloutStage::Full, "not worse so far", Sum};
    break;
  case RolloutStage::Full:
    // A report that was on its way may not show the last answers yet.
    if ((Sum.OthersRunning_ == 0 && Elapsed >= FullAt + ReportAllowance) ||
        Elapsed >= What.Time_ + MaxOverrun)
      return Step{RolloutStage::Completed, "not worse", Sum};
    break;
  case RolloutStage::Completed:
  case RolloutStage::RolledBack:
    break;
  }
  return std::nullopt;
}

void RolloutController::write(Record &Kept, RolloutRecord Next,
                              std::string Reason, Evidence const &Seen) {
  Kept.IsWriting_ = true;
  Kept.IsStatusWritten_ = false;
  Actions_.push_back(StageDecided{Next.What_.Service_, Next.What_.Target_,
                                  Next.Stage_, std::move(Reason), Seen.Target_,
                                  Seen.Others_});
  Actions_.push_back(WriteRecord{std::move(Next), Kept.Version_});
}

void RolloutController::begin(ServiceName const &Service, Order const &Ordered,
                              Record &Kept, Duration TimeOfDay) {
  RolloutRecord First{Ordered.Identifier_, {}, RolloutStage::Trial, TimeOfDay};
  First.What_.Service_ = Service;
  if (auto const *const Fault = std::get_if<std::string>(&Ordered.Decoded_)) {
    First.Stage_ = RolloutStage::RolledBack;
    return write(Kept, std::move(First), *Fault, {});
  }
  First.What_ = std::get<RolloutOrder>(Ordered.Decoded_);
  First.What_.Service_ = Service;
  write(Kept, std::move(First),
        Ordered.Identifier_ == 0 ? "the order is gone" : "ordered", {});
}

void RolloutController::advance(ServiceName const &Service,
                                Order const &Ordered, Record &Kept,
                                Duration TimeOfDay, TimePoint Now) {
  if (Kept.IsWriting_ || !Kept.WritePause_.isOver(Now))
    return;
  auto const Known = Kept.Stored_ ? Kept.Stored_->Order_ : 0;
  if (Known != Ordered.Identifier_)
    return begin(Service, Ordered, Kept, TimeOfDay);
  if (Known == 0)
    return;
  auto const &Stored = *Kept.Stored_;
  if (Kept.StatusPause_.isOver(Now) &&
      !std::exchange(Kept.IsStatusWritten_, true))
    Actions_.push_back(WriteStatus{Service, Ordered.Version_,
                                   Stored.What_.Target_, Stored.Stage_});
  if (isFinal(Stored.Stage_))
    return;
  if (auto const Next = nextStep(Stored, TimeOfDay)) {
    auto Changed = Stored;
    Changed.Stage_ = Next->Stage_;
    write(Kept, std::move(Changed), Next->Reason_, Next->Seen_);
  }
}

std::vector<Action> RolloutController::advance(Duration TimeOfDay,
                                               TimePoint Now) {
  for (auto const &[Service, Ordered] : Orders_)
    advance(Service, Ordered, Records_[Service], TimeOfDay, Now);
  return std::exchange(Actions_, {});
}

std::map<ServiceName, RolloutRecord> RolloutController::records() const {
  std::map<ServiceName, RolloutRecord> Known;
  for (auto const &[Service, Kept] : Records_)
    if (Kept.Stored_ && Kept.Stored_->Order_ != 0)
      Known[Service] = *Kept.Stored_;
  return Known;
}

std::vector<RolloutShare> RolloutController::shares() const {
  std::vector<RolloutShare> Shares;
  for (auto const &[Service, Stored] : records()) {
    auto const Ordered = Orders_.find(Service);
    if (Ordered != Orders_.end() &&
        Ordered->second.Identifier_ == Stored.Order_)
      Shares.push_back({Service, Stored.What_.Target_, shareOf(Stored.Stage_)});
  }
  return Shares;
}

} // namespace laburnum
