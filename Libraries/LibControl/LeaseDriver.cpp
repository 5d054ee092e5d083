#include <LibControl/LeaseDriver.h>

namespace laburnum {

namespace {

/// Short enough that a renewal completes well before a lease of a few seconds
/// expires.
constexpr std::chrono::milliseconds StoreTimeout{800};

lease::Event outcomeOf(Result<Version> const &Written) {
  if (!isError(Written))
    return lease::LeaseWritten{valueOf(Written)};
  switch (errorOf(Written).Kind_) {
  case ErrorKind::Conflict:
    return lease::WriteRefused{};
  case ErrorKind::OutcomeUnknown:
    return lease::WriteUnknown{};
  default:
    return lease::WriteFailed{};
  }
}

} // namespace

LeaseDriver::LeaseDriver(AsyncObjectStore &Store, lease::Settings Settings,
                         Clock Clock, Changed Changed)
    : Store_(Store), Holder_(std::move(Settings)), Clock_(std::move(Clock)),
      Changed_(std::move(Changed)) {}

void LeaseDriver::tick(TimePoint Now) { handle(lease::TimePassed{}, Now); }

void LeaseDriver::setMembers(std::vector<Member> const &Members,
                             TimePoint Now) {
  handle(lease::MembersChanged{Members}, Now);
}

void LeaseDriver::onFencedOut(TimePoint Now) {
  handle(lease::FencedOut{}, Now);
}

void LeaseDriver::handle(lease::Event const &Event, TimePoint Now) {
  for (auto const &Action : Holder_.handle(Event, Now))
    std::visit([this](auto const &Kind) { on(Kind); }, Action);
}

void LeaseDriver::on(lease::ReadLease const &Action) {
  Store_.get(lease::leaseKey(), Action.Consistency_, StoreTimeout,
             [Self = shared_from_this()](Result<StoredObject> const &Read) {
               auto const Now = Self->Clock_();
               if (isError(Read))
                 return Self->handle(lease::ReadFailed{}, Now);
               Self->handle(lease::LeaseRead{valueOf(Read)}, Now);
             });
}

void LeaseDriver::on(lease::WriteLease const &Action) {
  Store_.putIf(lease::leaseKey(), Action.Expected_, Action.Value_, StoreTimeout,
               [Self = shared_from_this()](Result<Version> const &Written) {
                 Self->handle(outcomeOf(Written), Self->Clock_());
               });
}

void LeaseDriver::on(lease::LeaseChanged const & /*Action*/) {
  Changed_(Holder_.held(Clock_()));
}

} // namespace laburnum
