#pragma once

#include <LibModel/JsonCodec.h>
#include <LibPeer/PeerMessage.h>
#include <LibServing/FlowFixture.h>
#include <LibServing/GuardedChooser.h>
#include <LibServing/LeastLoadedChooser.h>

#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace laburnum::test {

inline BackendServer guardedServer(std::string const &Name,
                                   std::string const &Centre = "east",
                                   std::uint32_t Capacity = 8) {
  BackendServer Made;
  Made.Id_ = ServerId(Name);
  Made.Service_ = ServiceName("service");
  Made.DataCentre_ = DataCentre(Centre);
  Made.Endpoint_ = {"127.0.0.1", 1};
  Made.Capacity_ = Capacity;
  return Made;
}

inline std::shared_ptr<Configuration const>
guardedConfiguration(std::vector<BackendServer> const &Servers) {
  Service Owner;
  Owner.Name_ = ServiceName("service");
  std::vector<ConfigurationObject> Objects{
      {{ObjectKind::Service, "service"}, 1, false, encodeJson(Owner)}};
  for (auto const &One : Servers)
    Objects.push_back(
        {{ObjectKind::Server, One.Id_.text()}, 1, false, encodeJson(One)});
  return Configuration::create(Objects);
}

/// How a server is lost.
enum class ServerLoss { Crashed, MachineLost };

/// Simulates in virtual time the guards of several instances, with message
/// delays, losses and partitions, and servers that crash.
class GuardFleet {
public:
  struct Rules {
    std::size_t Instances_ = 8;
    Duration MaxDelay_ = milliseconds(5);
    double Loss_ = 0.0;
  };

  struct Request {
    std::size_t Instance_ = 0;
    std::uint64_t Fingerprint_ = 0;
    std::unique_ptr<RequestFlow> Flow_;
    std::optional<TimePoint> RetryAt_;
    std::optional<ServerId> Server_; ///< Set while an attempt runs.
    AttemptNumber Attempt_ = 0;
    bool HasRun_ = false; ///< Some attempt reached a server.
    TimePoint EndsAt_{};
    Duration Length_{};
    std::optional<flow::FinishFailed> Failure_;
    std::optional<TimePoint> FinishedAt_;
  };

  GuardFleet(Rules const &Given, std::vector<BackendServer> Servers,
             std::uint64_t Seed)
      : Rules_(Given), Servers_(std::move(Servers)), Generator_(Seed) {
    Allowance_.RemainingRetries_ = 1 << 30;
    auto const Snapshot = guardedConfiguration(Servers_);
    for (std::size_t Index = 0; Index < Rules_.Instances_; ++Index) {
      Instances_.push_back(std::make_unique<Instance>(*this, Index, Seed));
      Instances_.back()->Chooser_.setSnapshot(Snapshot, {});
      Instances_.back()->Guarded_.setSnapshot(Snapshot, {});
    }
    healPartition();
  }

  /// Partitions the instances; each partition has its own servers.
  void partition(std::vector<std::size_t> const &PartitionOf,
                 std::vector<std::vector<BackendServer>> const &ServersOf) {
    PartitionOf_ = PartitionOf;
    for (auto &One : Instances_) {
      auto const View =
          guardedConfiguration(ServersOf[PartitionOf[One->Index_]]);
      One->Chooser_.setSnapshot(View, {});
      One->Guarded_.setSnapshot(View, {});
    }
    setPeers();
  }
  void healPartition() {
    PartitionOf_.assign(Rules_.Instances_, 0);
    setPeers();
  }

  Request &send(std::size_t Instance, std::uint64_t Fingerprint,
                Duration Length = milliseconds(100)) {
    auto Made = std::make_unique<Request>();
    Made->Instance_ = Instance;
    Made->Fingerprint_ = Fingerprint;
    Made->Length_ = Length;
    auto Given = plainRequest(Idempotence::Idempotent);
    Given.Key_.reset();
    Given.Fingerprint_ = Fingerprint;
    Given.Deadline_ = Now_ + seconds(60);
    Made->Flow_ = std::make_unique<RequestFlow>(
        Given, Instances_[Instance]->Guarded_, Allowance_);
    Requests_.push_back(std::move(Made));
    feed(*Requests_.back(), flow::Started{});
    return *Requests_.back();
  }

  void run(Duration Length) {
    for (auto const End = Now_ + Length; Now_ < End; Now_ += milliseconds(1))
      step();
  }

  void loseServer(ServerId const &Server, ServerLoss How) {
    if (!Lost_.emplace(Server, How).second)
      return;
    for (auto const &One : Requests_)
      if (One->Server_ == Server)
        endAttempt(*One, AttemptProgress::RequestSent,
                   AttemptEnd::ConnectionFailed);
  }

  bool suspects(std::size_t Instance, std::uint64_t Fingerprint) const {
    return Instances_[Instance]->Guard_.verdict(Fingerprint, Now_) !=
           CrashVerdict::Run;
  }
  std::size_t failures(std::uint64_t First) const {
    std::size_t Count = 0;
    for (auto const &One : Requests_)
      Count += One->Fingerprint_ >= First && One->Failure_ ? 1 : 0;
    return Count;
  }

  std::uint64_t CrashingContent_ = 1; ///< Content that crashes its server.
  TimePoint Now_ = at(Duration::zero());
  std::map<ServerId, ServerLoss> Lost_;
  std::vector<std::unique_ptr<Request>> Requests_;

private:
  struct Instance : GuardListener {
    Instance(GuardFleet &Owner, std::size_t Index, std::uint64_t Seed)
        : Owner_(Owner), Index_(Index), Id_("i" + std::to_string(Index)),
          Chooser_(Seed * 100 + Index), Guard_(Seed * 100 + Index),
          Guarded_(Chooser_, Guard_, *this, Id_) {}

    void onGuardNotification(GuardNotification const &Notification) override {
      for (auto const &One : Notification.Reservations_)
        Owner_.post(Index_, One.To_, One.Message_);
      sendReports(Notification.Reports_);
      if (Notification.BrokenOff_)
        PendingClassifications_[*Notification.BrokenOff_] =
            Owner_.Now_ + milliseconds(20);
    }
    void sendReports(std::vector<CrashReport> const &Reports) {
      if (Reports.empty())
        return;
      for (auto const &Peer : Owner_.Instances_)
        Owner_.post(Index_, Peer->Id_, CrashReports{Reports});
    }

    GuardFleet &Owner_;
    std::size_t const Index_;
    InstanceId const Id_;
    LeastLoadedChooser Chooser_;
    CrashGuard Guard_;
    GuardedChooser Guarded_;
    std::map<ServerId, TimePoint> PendingClassifications_;
  };
  struct InFlight {
    TimePoint At_{};
    std::size_t From_ = 0;
    std::size_t To_ = 0;
    PeerMessage Message_;
  };

  void setPeers() {
    for (auto &One : Instances_) {
      std::set<InstanceId> Peers;
      for (auto const &Other : Instances_)
        if (Other != One &&
            PartitionOf_[Other->Index_] == PartitionOf_[One->Index_])
          Peers.insert(Other->Id_);
      One->Guarded_.setPeers(std::move(Peers));
    }
  }

  void post(std::size_t From, InstanceId const &To, PeerMessage Message) {
    for (auto const &Other : Instances_) {
      if (Other->Id_ != To || Other->Index_ == From ||
          PartitionOf_[From] != PartitionOf_[Other->Index_])
        continue;
      if (std::uniform_real_distribution<double>()(Generator_) < Rules_.Loss_)
        continue;
      std::uniform_int_distribution<std::int64_t> Delay(
          1000, Rules_.MaxDelay_.count());
      Queue_.push_back({Now_ + Duration(Delay(Generator_)), From, Other->Index_,
                        std::move(Message)});
      return;
    }
  }

  void step() {
    deliver();
    for (auto &One : Instances_) {
      classifyDue(*One);
      if (Now_.time_since_epoch() % milliseconds(50) == Duration::zero())
        One->Guarded_.onTimePassed(Now_);
      if (Now_.time_since_epoch() % seconds(2) == Duration::zero())
        One->sendReports(One->Guard_.reports(Now_));
    }
    for (std::size_t Index = 0; Index < Requests_.size(); ++Index)
      advance(*Requests_[Index]);
  }

  void deliver() {
    std::vector<InFlight> Due;
    std::erase_if(Queue_, [&](InFlight &One) {
      if (One.At_ > Now_)
        return false;
      Due.push_back(One);
      return true;
    });
    for (auto const &One : Due) {
      auto &To = *Instances_[One.To_];
      if (auto const *Reports = std::get_if<CrashReports>(&One.Message_))
        To.Guard_.merge(Reports->Reports_, Now_);
      if (auto const *Reserved = std::get_if<ServerReserved>(&One.Message_))
        To.Guarded_.receive(Instances_[One.From_]->Id_, *Reserved, Now_);
    }
  }

  void classifyDue(Instance &One) {
    std::vector<ServerId> Due;
    for (auto const &[Server, At] : One.PendingClassifications_)
      if (At <= Now_)
        Due.push_back(Server);
    for (auto const &Id : Due) {
      One.PendingClassifications_.erase(Id);
      auto const Server = serverNamed(Id);
      One.sendReports(One.Guard_.onDisconnectClassified(
          Server, classifyDisconnect(probesOf(One, Server)), Now_));
    }
  }

  ProbeAnswer answerOf(ServerId const &Id) const {
    auto const Found = Lost_.find(Id);
    if (Found == Lost_.end())
      return ProbeAnswer::Accepted;
    return Found->second == ServerLoss::Crashed ? ProbeAnswer::Refused
                                                : ProbeAnswer::Silent;
  }
  DisconnectProbes probesOf(Instance const &Judge,
                            BackendServer const &Server) const {
    DisconnectProbes Probes{{answerOf(Server.Id_)}, {}};
    for (auto const &Other : Servers_)
      if (Other.DataCentre_ == Server.DataCentre_ && Other.Id_ != Server.Id_ &&
          Probes.Neighbours_.size() < 3 &&
          Judge.Guard_.mayConfirmReclaim(Server.Id_, Other.Id_, Now_))
        Probes.Neighbours_.push_back(answerOf(Other.Id_));
    return Probes;
  }
  BackendServer serverNamed(ServerId const &Id) const {
    for (auto const &One : Servers_)
      if (One.Id_ == Id)
        return One;
    return {};
  }

  void advance(Request &One) {
    if (One.Server_ && One.EndsAt_ <= Now_) {
      if (One.Fingerprint_ == CrashingContent_)
        loseServer(ServerId(*One.Server_), ServerLoss::Crashed);
      else
        endAttempt(One, AttemptProgress::AnswerWhole, AttemptEnd::Answered);
    }
    if (One.RetryAt_ && *One.RetryAt_ <= Now_) {
      One.RetryAt_.reset();
      feed(One, flow::RetryDue{});
    }
  }

  void endAttempt(Request &One, AttemptProgress Progress, AttemptEnd End) {
    One.Server_.reset();
    PlainResult Result;
    Result.Evidence_ = {Progress, End, 200, ""};
    Result.Answer_ = {200, "text/plain", "body"};
    feed(One, flow::PlainAttemptEnded{One.Attempt_, Result});
  }

  void feed(Request &One, flow::Event const &Event) {
    for (auto const &Action : One.Flow_->handle(Event, Now_)) {
      if (auto const *Start = std::get_if<flow::StartPlainAttempt>(&Action))
        start(One, *Start);
      if (auto const *Wait = std::get_if<flow::WaitBeforeRetry>(&Action))
        One.RetryAt_ = Now_ + Wait->Pause_;
      if (auto const *Failed = std::get_if<flow::FinishFailed>(&Action))
        One.Failure_ = *Failed;
    }
    if (One.Flow_->isFinished() && !One.FinishedAt_)
      One.FinishedAt_ = Now_;
  }

  void start(Request &One, flow::StartPlainAttempt const &Start) {
    One.Attempt_ = Start.Call_.Attempt_;
    if (Lost_.contains(Start.Server_.Id_))
      return endAttempt(One, AttemptProgress::NotConnected,
                        AttemptEnd::ConnectionFailed);
    One.Server_ = Start.Server_.Id_;
    One.HasRun_ = true;
    One.EndsAt_ = Now_ + (One.Fingerprint_ == CrashingContent_ ? milliseconds(3)
                                                               : One.Length_);
  }

  Rules const Rules_;
  std::vector<BackendServer> const Servers_;
  std::mt19937_64 Generator_;
  ScriptedAllowance Allowance_;
  std::vector<std::unique_ptr<Instance>> Instances_;
  std::vector<std::size_t> PartitionOf_;
  std::deque<InFlight> Queue_;
};

} // namespace laburnum::test
