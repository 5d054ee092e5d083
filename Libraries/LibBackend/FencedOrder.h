#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace laburnum {

enum class EngineOrderKind { LoadModel, LoadAdapter, SetRole };

/// An order to a model engine, with the fencing number of the sender's lease.
struct FencedOrder {
  std::uint64_t Fencing_ = 0;
  std::string OrderId_;
  EngineOrderKind Kind_ = EngineOrderKind::LoadModel;
  std::string Argument_; ///< The model, the adapter or the role.

  auto operator<=>(FencedOrder const &) const = default;
};

/// The outcome of an order to an engine.
enum class EngineOrderOutcome {
  Done,
  Fenced, ///< Rejected: the engine has seen a higher fencing number.
  Failed, ///< Not sent, no answer or another answer; it may be repeated.
};

} // namespace laburnum
