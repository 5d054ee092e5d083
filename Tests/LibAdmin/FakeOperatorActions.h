#pragma once

#include <LibAdmin/OperatorActions.h>

#include <map>
#include <mutex>

namespace laburnum {

/// Holds objects in memory with store-wide versions and returns the earlier
/// outcome for a change identifier that was already accepted.
class FakeOperatorActions : public OperatorActions {
public:
  Result<ChangeOutcome> applyService(OperatorChange const &Change,
                                     Service const &Value) override {
    return put(Change, {ObjectKind::Service, Value.Name_.text()}, Value);
  }

  Result<ChangeOutcome> applyAccount(OperatorChange const &Change,
                                     AccountChange const &Value) override {
    LastKey_ = Value.NewKey_;
    auto const Key = Value.NewKey_.value_or(AccountKey());
    ClientAccount const Account{Value.Name_,   Key.Digest_,  Key.Hint_,
                                Value.Limits_, Value.Worth_, Value.Services_};
    return put(Change, {ObjectKind::Account, Value.Name_.text()}, Account);
  }

  Result<ChangeOutcome> applyServer(OperatorChange const &Change,
                                    BackendServer const &Value) override {
    return put(Change, {ObjectKind::Server, Value.Id_.text()}, Value);
  }

  Result<ChangeOutcome> remove(OperatorChange const &,
                               ObjectName const &) override {
    return Failure_;
  }

  Result<std::vector<ObjectView>>
  listObjects(ObjectQuery const &Query) override {
    std::vector<ObjectView> Views;
    for (auto const &[Name, View] : Objects_)
      if (Name.Kind_ == Query.Kind_)
        Views.push_back(View);
    return Views;
  }

  Result<std::vector<InstanceView>> listInstances() override {
    InstanceView View;
    View.Id_ = "r1";
    return std::vector<InstanceView>{View};
  }

  Result<std::vector<ConfigurationInForce>>
  listConfigurationInForce() override {
    return std::vector<ConfigurationInForce>{
        {InstanceId("e1"), DataCentre("wien-1"), 7, 9, Duration(3000)}};
  }

  Result<std::vector<AuditEntry>>
  listAuditTrail(AuditQuery const &Query) override {
    LastAuditQuery_ = Query;
    return Audit_;
  }

  Result<std::vector<ReclaimView>> listReclaims() override {
    return std::vector<ReclaimView>(1);
  }

  Result<std::vector<MetricSnapshot>>
  readMetrics(std::string const &Prefix) override {
    MetricSnapshot Metric;
    Metric.Name_ = Prefix + "x";
    return std::vector<MetricSnapshot>{Metric};
  }

  Result<StatusView> readStatus() override { return Status_; }

  Result<Success> drain(DrainOrder const &Order) override {
    LastDrain_ = Order;
    return Success{};
  }

  Error Failure_;
  StatusView Status_;
  std::vector<AuditEntry> Audit_;
  std::optional<AccountKey> LastKey_;
  std::optional<AuditQuery> LastAuditQuery_;
  std::optional<DrainOrder> LastDrain_;
  std::string LastOperator_;

private:
  template <typename Value>
  ChangeOutcome put(OperatorChange const &Change, ObjectName const &Name,
                    Value const &New) {
    LastOperator_ = Change.OperatorName_;
    if (auto const Seen = Accepted_.find(Change.Id_); Seen != Accepted_.end())
      return {ChangeVerdict::Repeated, Seen->second};
    auto &Current = Objects_[Name];
    if (Current.Version_ != Change.Expected_)
      return {ChangeVerdict::Conflict, Current.Version_};
    Current = {++StoreVersion_, New};
    Accepted_[Change.Id_] = StoreVersion_;
    return {ChangeVerdict::Accepted, StoreVersion_};
  }

  std::map<ObjectName, ObjectView> Objects_;
  std::map<ChangeId, Version> Accepted_;
  Version StoreVersion_ = 0;
};

} // namespace laburnum
