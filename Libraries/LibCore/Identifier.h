#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace laburnum {

/// A string that names one sort of thing, so that a service's name cannot be
/// passed where an account's is expected.
template <typename Tag> class Identifier {
public:
  Identifier() = default;
  explicit Identifier(std::string Text) : Text_(std::move(Text)) {}

  std::string const &text() const { return Text_; }
  bool isEmpty() const { return Text_.empty(); }

  auto operator<=>(Identifier const &) const = default;

private:
  std::string Text_;
};

using AccountName = Identifier<struct AccountNameTag>;
using ServiceName = Identifier<struct ServiceNameTag>;
/// Names a backend server.
using ServerId = Identifier<struct ServerIdTag>;
/// Names one life of an entry instance.
using InstanceId = Identifier<struct InstanceIdTag>;
using DataCentre = Identifier<struct DataCentreTag>;
/// Made by this system for each request it takes.
using RequestId = Identifier<struct RequestIdTag>;
/// Chosen by the caller; the same key means the same request.
using IdempotencyKey = Identifier<struct IdempotencyKeyTag>;
/// Chosen by the operator's tool; the same identifier means the same change.
using ChangeId = Identifier<struct ChangeIdTag>;
/// Made anew for each write, to recognise it when its answer was lost.
using Nonce = Identifier<struct NonceTag>;

} // namespace laburnum

template <typename Tag> struct std::hash<laburnum::Identifier<Tag>> {
  std::size_t operator()(laburnum::Identifier<Tag> const &Name) const {
    return std::hash<std::string>()(Name.text());
  }
};
