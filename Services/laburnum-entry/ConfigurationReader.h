#pragma once

#include "ControlPlane.h"

namespace laburnum {

/// Applies configuration objects read from the store.
class ControlPlane::ConfigurationReader : public CollectionReader {
public:
  explicit ConfigurationReader(ControlPlane &Plane) : Plane_(Plane) {}

  void onListed(ObjectList const &Listed) override { apply(Listed.Objects_); }
  void onChanged(WatchBatch const &Changes) override {
    apply(Changes.Objects_);
  }
  void onLost(Error const &Reason) override {
    Plane_.Dependencies_.Metrics_.DependenciesLost_.add();
    Plane_.Dependencies_.Log_.write(
        LogLine("dependency_lost")
            .add("what", "store/configuration")
            .add("version", Plane_.ConfigurationVersion_)
            .add("why", Reason.Message_));
  }
  void onRegained() override {
    Plane_.Dependencies_.Log_.write(
        LogLine("dependency_regained")
            .add("what", "store/configuration")
            .add("version", Plane_.ConfigurationVersion_));
  }

private:
  void apply(std::vector<StoredObject> const &Objects) {
    for (auto const &Object : Objects)
      if (Object.Version_ != 0)
        Plane_.applyConfiguration(Object);
  }

  ControlPlane &Plane_;
};

} // namespace laburnum
