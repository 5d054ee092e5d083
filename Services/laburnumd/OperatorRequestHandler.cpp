#include "OperatorRequestHandler.h"

#include "StatusReport.h"

#include <LibFleet/OperatorExpectation.h>
#include <LibModel/JsonCodec.h>

#include <algorithm>
#include <chrono>

namespace laburnum {

namespace {

std::int64_t unixSeconds() {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string addressOf(Endpoint const &Address) {
  return Address.Host_ + ":" + std::to_string(Address.Port_);
}

} // namespace

OperatorRequestHandler::OperatorRequestHandler(
    InstanceId Self, ControlPlane &Plane, TrafficView &View,
    ChangeWriter &Writer, MetricsRegistry &Metrics,
    std::function<void(Duration)> DrainSelf)
    : Self_(std::move(Self)), Plane_(Plane), View_(View), Writer_(Writer),
      Metrics_(Metrics), DrainSelf_(std::move(DrainSelf)) {}

Result<ChangeOutcome>
OperatorRequestHandler::write(OperatorChange const &Requested, ChangeKind Kind,
                              ObjectName const &Name,
                              std::string Specification) {
  Change NewChange;
  NewChange.Change_ = Kind;
  NewChange.Name_ = Name;
  NewChange.Specification_ = std::move(Specification);
  NewChange.Id_ = Requested.Id_;
  auto const Stored = Plane_.object(Name);
  NewChange.Expected_ = expectedVersion(Requested.Expected_, Stored);
  NewChange.Operator_ = Requested.OperatorName_;
  NewChange.UnixTime_ = unixSeconds();
  NewChange.Instance_ = Self_;
  auto const Written = Writer_.apply(NewChange);
  if (auto const *Conflicting = std::get_if<VersionConflict>(&Written))
    return ChangeOutcome{ChangeVerdict::Conflict, Conflicting->CurrentVersion_};
  if (isError(Written))
    return errorOf(Written);
  auto const &Accepted = valueOf(Written);
  Plane_.applyLocalChange(Accepted.Object_);
  auto const Verdict = Accepted.Repeated_ == Repeated::Yes
                           ? ChangeVerdict::Repeated
                           : ChangeVerdict::Accepted;
  return ChangeOutcome{Verdict, Accepted.Object_.Version_};
}

/// The change expects an outdated version, so it can only have been accepted if
/// it was sent before.
Result<ChangeOutcome>
OperatorRequestHandler::repeatedOrConflict(OperatorChange const &Requested,
                                           ConfigurationObject const &Stored) {
  auto const Previous =
      Writer_.acceptedBefore(Stored.Name_, Requested.Id_, Stored.Version_);
  if (isError(Previous))
    return errorOf(Previous);
  if (auto const &Accepted = valueOf(Previous))
    return ChangeOutcome{ChangeVerdict::Repeated, Accepted->Object_.Version_};
  return ChangeOutcome{ChangeVerdict::Conflict, Stored.Version_};
}

Result<ChangeOutcome>
OperatorRequestHandler::applyService(OperatorChange const &Change,
                                     Service const &Value) {
  return write(Change, ChangeKind::Apply,
               {ObjectKind::Service, Value.Name_.text()}, encodeJson(Value));
}

Result<ChangeOutcome>
OperatorRequestHandler::applyAccount(OperatorChange const &Change,
                                     AccountChange const &Value) {
  ObjectName const Name{ObjectKind::Account, Value.Name_.text()};
  ClientAccount Account;
  Account.Name_ = Value.Name_;
  Account.Limits_ = Value.Limits_;
  Account.Worth_ = Value.Worth_;
  Account.Services_ = Value.Services_;
  if (Value.NewKey_) {
    Account.KeyDigest_ = Value.NewKey_->Digest_;
    Account.KeyHint_ = Value.NewKey_->Hint_;
  } else {
    auto const Stored = Plane_.object(Name);
    if (isNewer(Stored, Change.Expected_))
      return repeatedOrConflict(Change, *Stored);
    auto const Key = accountKeyAt(Name, Change.Expected_, Stored);
    if (isError(Key))
      return errorOf(Key);
    Account.KeyDigest_ = valueOf(Key).Digest_;
    Account.KeyHint_ = valueOf(Key).Hint_;
  }
  return write(Change, ChangeKind::Apply, Name, encodeJson(Account));
}

Result<ChangeOutcome>
OperatorRequestHandler::applyServer(OperatorChange const &Change,
                                    BackendServer const &Value) {
  return write(Change, ChangeKind::Apply,
               {ObjectKind::Server, Value.Id_.text()}, encodeJson(Value));
}

Result<ChangeOutcome>
OperatorRequestHandler::remove(OperatorChange const &Change,
                               ObjectName const &Name) {
  return write(Change, ChangeKind::Delete, Name, "");
}

Result<std::vector<ObjectView>>
OperatorRequestHandler::listObjects(ObjectQuery const &Query) {
  std::vector<ObjectView> Views;
  for (auto const &Object : Plane_.objects(Query.Kind_)) {
    if (!Query.Name_.empty() && Object.Name_.Name_ != Query.Name_)
      continue;
    if (auto View = viewOf(Object))
      Views.push_back(*View);
  }
  if (!Query.Name_.empty() && Views.empty())
    return Error{ErrorKind::NotFound,
                 "there is no " + toString(Query.Kind_) + " " + Query.Name_,
                 "list all to see the names"};
  return Views;
}

Result<std::vector<InstanceView>> OperatorRequestHandler::listInstances() {
  std::vector<InstanceView> Views;
  for (auto const &Member : Plane_.members()) {
    InstanceView View;
    View.Id_ = Member.Instance_.Id_.text();
    View.DataCentre_ = Member.Instance_.DataCentre_;
    View.Liveness_ = Member.Liveness_;
    View.Address_ = addressOf(Member.Instance_.Callers_);
    Views.push_back(View);
  }
  auto const Current = View_.configuration();
  auto const Departures = View_.departures();
  for (auto const &[Name, Defined] : Current->services()) {
    for (auto const &Server : Current->serversOf(Name))
      Views.push_back(viewOf(Server, *Departures));
  }
  return Views;
}

Result<std::vector<ConfigurationInForce>>
OperatorRequestHandler::listConfigurationInForce() {
  std::vector<ConfigurationInForce> Views;
  auto const Now = readClock();
  for (auto const &Member : Plane_.members()) {
    if (Member.Liveness_ == Liveness::Gone)
      continue;
    ConfigurationInForce View;
    View.Instance_ = Member.Instance_.Id_;
    View.DataCentre_ = Member.Instance_.DataCentre_;
    View.Version_ = Member.ConfigurationVersion_;
    View.Digest_ = Member.ConfigurationDigest_;
    View.Age_ = Now - Member.LastReceivedAt_;
    Views.push_back(View);
  }
  return Views;
}

Result<std::vector<AuditEntry>>
OperatorRequestHandler::listAuditTrail(AuditQuery const &Query) {
  std::vector<AuditEntry> Entries;
  for (auto const &Name : Plane_.objectNames()) {
    if (Query.Kind_ && Name.Kind_ != *Query.Kind_)
      continue;
    if (!Query.Name_.empty() && Name.Name_ != Query.Name_)
      continue;
    auto const Trail = Writer_.auditTrail(Name, Query.Limit_);
    if (isError(Trail))
      return errorOf(Trail);
    for (auto const &Record : valueOf(Trail))
      Entries.push_back(auditEntryOf(Name, Record));
  }
  std::stable_sort(Entries.begin(), Entries.end(),
                   [](AuditEntry const &Left, AuditEntry const &Right) {
                     return Left.UnixTimeMilliseconds_ >
                            Right.UnixTimeMilliseconds_;
                   });
  if (Entries.size() > Query.Limit_)
    Entries.resize(Query.Limit_);
  return Entries;
}

Result<std::vector<ReclaimView>> OperatorRequestHandler::listReclaims() {
  std::vector<ReclaimView> Views;
  auto const Current = View_.configuration();
  auto const Now = readClock();
  for (auto const &[Id, Departure] : *View_.departures()) {
    ReclaimView View;
    View.Instance_ = Id.text();
    if (auto const *Server = Current->server(Id))
      View.DataCentre_ = Server->DataCentre_;
    if (Departure.GoneAt_)
      View.Remaining_ = *Departure.GoneAt_ - Now;
    Views.push_back(View);
  }
  return Views;
}

Result<std::vector<MetricSnapshot>>
OperatorRequestHandler::readMetrics(std::string const &Prefix) {
  return Metrics_.snapshot(Prefix);
}

Result<StatusView> OperatorRequestHandler::readStatus() {
  return statusOf({Self_, Plane_.members(), View_.configuration(),
                   View_.departures(), Plane_.configurationVersion(),
                   Plane_.isPlatformReachable()
                       ? PlatformConnectivity::Reachable
                       : PlatformConnectivity::Unreachable});
}

Result<Success> OperatorRequestHandler::drain(DrainOrder const &Order) {
  if (Order.Server_.isEmpty()) {
    DrainSelf_(Order.Within_);
    return Success{};
  }
  if (!View_.configuration()->server(Order.Server_))
    return Error{ErrorKind::NotFound,
                 "there is no backend server " + Order.Server_.text(),
                 "list the backend servers to see their names"};
  Plane_.drainServer(Order.Server_, Order.Within_);
  return Success{};
}

} // namespace laburnum
