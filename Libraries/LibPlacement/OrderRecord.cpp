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

Json encodeOrder(ServerOrder const &Order) {
  return {
      {"order", Order.OrderId_},
      {"service", Order.Service_.text()},
      {"data_centre", Order.Slot_.DataCentre_.text()},
      {"reclaimable", Order.Slot_.CapacityType_ == CapacityType::Reclaimable},
      {"state", stateName(Order.State_)},
      {"server", Order.Server_.text()}};
}

ServerOrder readOrder(JsonReader &Reader) {
  ServerOrder Order;
  Order.OrderId_ = Reader.text("order");
  Order.Service_ = ServiceName(Reader.text("service"));
  Order.Slot_.DataCentre_ = DataCentre(Reader.text("data_centre"));
  Order.Slot_.CapacityType_ = Reader.boolean("reclaimable")
                                  ? CapacityType::Reclaimable
                                  : CapacityType::OnDemand;
  Order.State_ = readState(Reader);
  Order.Server_ = ServerId(Reader.text("server"));
  return Order;
}

} // namespace

ObjectKey orderRecordKey() { return {"placement", "orders"}; }

void addOrder(OrderRecord &Record, ServiceName const &Owner,
              PlacementSlot const &Slot) {
  ServerOrder Added;
  Added.OrderId_ = Owner.text() + "-" + std::to_string(Record.NextNumber_++);
  Added.Service_ = Owner;
  Added.Slot_ = Slot;
  Record.Orders_.push_back(std::move(Added));
}

std::string encodeOrders(OrderRecord const &Value) {
  Json Orders = Json::array();
  for (auto const &Order : Value.Orders_)
    Orders.push_back(encodeOrder(Order));
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
