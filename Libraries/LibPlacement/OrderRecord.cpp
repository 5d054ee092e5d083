#include <LibPlacement/OrderRecord.h>

#include <LibModel/JsonReader.h>

#include <limits>

namespace laburnum {

namespace {

using Json = nlohmann::json;

std::string stateName(OrderState State) {
  switch (State) {
  case OrderState::Requested:
    return "asked";
  case OrderState::Started:
    return "started";
  case OrderState::Stopping:
    return "stopping";
  }
  return "asked";
}

OrderState readState(JsonReader &Reader) {
  auto const Name = Reader.text("state");
  for (auto const State :
       {OrderState::Requested, OrderState::Started, OrderState::Stopping})
    if (Name == stateName(State))
      return State;
  Reader.fail("state", "\"asked\", \"started\" or \"stopping\"");
  return OrderState::Requested;
}

Json encodeOrder(ServerOrder const &One) {
  return {{"order", One.OrderId_},
          {"service", One.Service_.text()},
          {"data_centre", One.Slot_.DataCentre_.text()},
          {"reclaimable", One.Slot_.CapacityType_ == CapacityType::Reclaimable},
          {"state", stateName(One.State_)},
          {"server", One.Server_.text()}};
}

ServerOrder readOrder(JsonReader &Reader) {
  ServerOrder One;
  One.OrderId_ = Reader.text("order");
  One.Service_ = ServiceName(Reader.text("service"));
  One.Slot_.DataCentre_ = DataCentre(Reader.text("data_centre"));
  One.Slot_.CapacityType_ = Reader.boolean("reclaimable")
                                ? CapacityType::Reclaimable
                                : CapacityType::OnDemand;
  One.State_ = readState(Reader);
  One.Server_ = ServerId(Reader.text("server"));
  return One;
}

} // namespace

ObjectKey orderRecordKey() { return {"placement", "orders"}; }

void addOrder(OrderRecord &Record, ServiceName const &For,
              PlacementSlot const &Slot) {
  ServerOrder Added;
  Added.OrderId_ = For.text() + "-" + std::to_string(Record.NextNumber_++);
  Added.Service_ = For;
  Added.Slot_ = Slot;
  Record.Orders_.push_back(std::move(Added));
}

std::string encodeOrders(OrderRecord const &Value) {
  Json Orders = Json::array();
  for (auto const &One : Value.Orders_)
    Orders.push_back(encodeOrder(One));
  Json const Encoded = {{"next", Value.NextNumber_}, {"orders", Orders}};
  return Encoded.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<OrderRecord> decodeOrders(std::string const &Text) {
  if (Text.empty())
    return OrderRecord{};
  auto const Parsed = Json::parse(Text, nullptr, false);
  JsonReader Reader(Parsed, "the record of orders");
  OrderRecord Value;
  Value.NextNumber_ = static_cast<std::uint64_t>(
      Reader.integer("next", 0, std::numeric_limits<std::int64_t>::max()));
  if (auto const *Items = Reader.array("orders")) {
    for (auto const &Item : *Items) {
      JsonReader Nested(Item, "an order");
      Value.Orders_.push_back(readOrder(Nested));
      Reader.takeError(std::move(Nested));
    }
  }
  if (auto Failure = Reader.finish())
    return *Failure;
  return Value;
}

} // namespace laburnum
