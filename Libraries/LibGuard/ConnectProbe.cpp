#include <LibGuard/ConnectProbe.h>

#include <LibHttp/Connection.h>

#include <utility>

namespace laburnum {

void ConnectProbe::start(asio::io_context &Context, Endpoint const &Address,
                         Duration Delay, Duration Timeout, Callback Done) {
  std::shared_ptr<ConnectProbe> const Probe(
      new ConnectProbe(Context, Address, Timeout, std::move(Done)));
  Probe->Timer_.expires_after(Delay);
  Probe->Timer_.async_wait([Probe](asio::error_code Failure) {
    if (!Failure)
      Probe->connect();
  });
}

ConnectProbe::ConnectProbe(asio::io_context &Context, Endpoint Address,
                           Duration Timeout, Callback Done)
    : Address_(std::move(Address)), Timeout_(Timeout), Done_(std::move(Done)),
      Timer_(Context), Socket_(Context) {}

void ConnectProbe::connect() {
  auto const Resolved = resolve(Address_);
  if (isError(Resolved))
    return finish(ProbeAnswer::Silent);
  Timer_.expires_after(Timeout_);
  Timer_.async_wait([Self = shared_from_this()](asio::error_code Failure) {
    if (!Failure)
      Self->finish(ProbeAnswer::Silent);
  });
  Socket_.async_connect(
      valueOf(Resolved), [Self = shared_from_this()](asio::error_code Failure) {
        // Only a running machine reports that nothing listens.
        Self->finish(!Failure ? ProbeAnswer::Accepted
                     : Failure == asio::error::connection_refused
                         ? ProbeAnswer::Refused
                         : ProbeAnswer::Silent);
      });
}

void ConnectProbe::finish(ProbeAnswer Answer) {
  auto const Done = std::exchange(Done_, nullptr);
  if (!Done)
    return;
  Timer_.cancel();
  asio::error_code Ignored;
  Socket_.close(Ignored);
  Done(Answer);
}

} // namespace laburnum
