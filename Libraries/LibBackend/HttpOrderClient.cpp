#include <LibBackend/HttpOrderClient.h>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace laburnum {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusPreconditionFailed = 412;

std::string kindName(EngineOrderKind Kind) {
  switch (Kind) {
  case EngineOrderKind::LoadModel:
    return "load_model";
  case EngineOrderKind::LoadAdapter:
    return "load_adapter";
  case EngineOrderKind::SetRole:
    return "set_role";
  }
  return "";
}

EngineOrderOutcome outcomeOf(httplib::Result const &Answer) {
  if (!Answer)
    return EngineOrderOutcome::Failed;
  if (Answer->status == StatusPreconditionFailed)
    return EngineOrderOutcome::Fenced;
  return Answer->status == StatusOk ? EngineOrderOutcome::Done
                                    : EngineOrderOutcome::Failed;
}

} // namespace

std::string encodeJson(FencedOrder const &Order) {
  nlohmann::json const Body = {{"fencing", Order.Fencing_},
                               {"order_id", Order.OrderId_},
                               {"kind", kindName(Order.Kind_)},
                               {"argument", Order.Argument_}};
  return Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Checks SendBefore again once connected, just before the body is written, so
/// that a slow connect or a pause of the process does not send the order late.
EngineOrderOutcome HttpOrderClient::send(BackendServer const &Server,
                                         FencedOrder const &Order,
                                         TimePoint SendBefore,
                                         Duration Timeout) {
  constexpr int Phases = 3; // Connecting, writing and reading.
  auto const PhaseTimeout = Timeout / Phases;
  httplib::Client Client(Server.Endpoint_.Host_, Server.Endpoint_.Port_);
  Client.set_tcp_nodelay(true);
  Client.set_connection_timeout(PhaseTimeout);
  Client.set_write_timeout(PhaseTimeout);
  Client.set_read_timeout(PhaseTimeout);
  auto const Body = encodeJson(Order);
  auto const WriteBody = [&](std::size_t Offset, std::size_t Length,
                             httplib::DataSink &Sink) {
    if (readClock() >= SendBefore)
      return false;
    return Sink.write(Body.data() + Offset, Length);
  };
  if (readClock() >= SendBefore)
    return EngineOrderOutcome::Failed;
  return outcomeOf(
      Client.Post("/orders", Body.size(), WriteBody, "application/json"));
}

} // namespace laburnum
