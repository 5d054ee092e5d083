#pragma once

#include <LibCore/Result.h>
#include <LibPlacement/PlacementPlanner.h>
#include <LibPlatform/ObjectStore.h>

#include <cstdint>
#include <string>
#include <vector>

namespace laburnum {

/// How far an order for a server has come. A later state is written only after
/// what it says has happened, except Asked and Stopping: these are written
/// before the cloud is told, so that the next lease holder finishes them.
enum class OrderState { Asked, Started, Stopping };

/// One server that the controller ordered. The order's identifier does not
/// depend on who holds the lease, so that sending it again starts nothing new.
struct ServerOrder {
  std::string OrderId_;
  ServiceName Service_;
  PlacementSlot Slot_;
  OrderState State_ = OrderState::Asked;
  ServerId Server_; ///< Empty while the state is Asked.

  auto operator<=>(ServerOrder const &) const = default;
};

/// All orders in being: one object of the platform.
struct OrderRecord {
  std::uint64_t NextNumber_ = 0; ///< Of the next order's identifier.
  std::vector<ServerOrder> Orders_;

  auto operator<=>(OrderRecord const &) const = default;
};

/// Where the record lies.
ObjectKey orderRecordKey();

/// Adds an order in state Asked.
void addOrder(OrderRecord &Record, ServiceName const &For,
              PlacementSlot const &Slot);

std::string encodeOrders(OrderRecord const &Value);
/// InvalidArgument when the text is not such a value. An empty text is an
/// empty record.
Result<OrderRecord> decodeOrders(std::string const &Json);

} // namespace laburnum
