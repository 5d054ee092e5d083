#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibModel/EntryInstance.h>

#include <vector>

namespace laburnum {

struct ListedEntryInstance {
  EntryInstance Instance_;
  Liveness Liveness_ = Liveness::Live;

  auto operator<=>(ListedEntryInstance const &) const = default;
};

struct ListedServer {
  ServerId Id_;
  Liveness Liveness_ = Liveness::Live;

  auto operator<=>(ListedServer const &) const = default;
};

/// The platform's list as it was some seconds ago. An instance or server that
/// is absent no longer exists.
struct InstanceListing {
  std::vector<ListedEntryInstance> EntryInstances_;
  std::vector<ListedServer> Servers_;

  auto operator<=>(InstanceListing const &) const = default;
};

/// The platform's eventually consistent list of live and leaving instances.
class InstanceList {
public:
  virtual ~InstanceList() = default;
  virtual Result<InstanceListing> fetch(Duration Timeout) = 0;
};

} // namespace laburnum
