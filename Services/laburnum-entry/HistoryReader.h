#pragma once

#include "ControlPlane.h"

#include <LibControl/OriginHistoryCodec.h>

namespace laburnum {

/// Applies the history of software versions and moved routes, which tells where
/// streams may begin. Loss of the store is logged by the other readers.
class ControlPlane::HistoryReader : public CollectionReader {
public:
  explicit HistoryReader(ControlPlane &Plane) : Plane_(Plane) {}

  void onListed(ObjectList const &Listed) override {
    Plane_.StreamOriginTasks_.onHistoryListed(Listed);
  }
  void onChanged(WatchBatch const &Changes) override {
    Plane_.StreamOriginTasks_.onHistoryChanged(Changes.Objects_);
  }
  void onLost(Error const & /*Reason*/) override {}
  void onRegained() override {}

private:
  ControlPlane &Plane_;
};

} // namespace laburnum
