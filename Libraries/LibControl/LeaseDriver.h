#pragma once

#include <LibPlacement/LeaseHolder.h>
#include <LibPlatform/AsyncObjectStore.h>

#include <functional>
#include <memory>
#include <optional>

namespace laburnum {

/// Carries out a LeaseHolder's actions on the store. Used on one thread.
class LeaseDriver : public std::enable_shared_from_this<LeaseDriver> {
public:
  using Clock = std::function<TimePoint()>;
  using Changed = std::function<void(std::optional<HeldLease> const &)>;

  /// The store has to outlive the driver. Changed is called when the lease is
  /// gained, renewed or lost.
  LeaseDriver(AsyncObjectStore &Store, lease::Settings Settings, Clock Clock,
              Changed Changed);

  /// To be called at least five times a second.
  void tick(TimePoint Now);
  void setMembers(std::vector<Member> const &Members, TimePoint Now);
  /// A higher fencing number than this instance's was seen.
  void onFencedOut(TimePoint Now);
  std::optional<HeldLease> held(TimePoint Now) const {
    return Holder_.held(Now);
  }

private:
  void handle(lease::Event const &Event, TimePoint Now);
  void on(lease::ReadLease const &Action);
  void on(lease::WriteLease const &Action);
  void on(lease::LeaseChanged const &Action);

  AsyncObjectStore &Store_;
  LeaseHolder Holder_;
  Clock Clock_;
  Changed Changed_;
};

} // namespace laburnum
