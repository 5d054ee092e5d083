#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace laburnum {

enum class EngineOrderKind { LoadModel, LoadAdapter, SetRole };

/// An order to a model engine, with the fencing number of the lease that it is
/// given under.
struct FencedOrder {
  std::uint64_t Fencing_ = 0;
  std::string OrderId_;
  EngineOrderKind Kind_ = EngineOrderKind::LoadModel;
  std::string Argument_; ///< The model, the adapter or the role.

  auto operator<=>(FencedOrder const &) const = default;
};

/// What an engine made of an order.
enum class EngineOrderOutcome {
  Done,
  Fenced, ///< Refused: it has seen a higher fencing number.
  Failed, ///< No answer, another answer, or not sent; it may be repeated.
};

} // namespace laburnum
