#pragma once

#include <LibAdmin/OperatorActions.h>
#include <LibAdmin/OperatorChange.h>
#include <LibAdmin/OperatorViews.h>
#include <LibCore/Result.h>

#include <laburnum.pb.h>

#include <optional>
#include <string>

namespace laburnum {

namespace proto = admin::v1;

/// The minimum length of a client account's key.
inline constexpr std::size_t MinimumAccountKeyCharacters = 24;

/// An account as the operator's tool sends it. This is the only type that holds
/// the key in plain text. Without a key the current one is kept.
struct AccountInput {
  AccountName Name_;
  std::optional<std::string> Key_;
  AccountLimits Limits_;
  double Worth_ = 1.0;
  std::vector<ServiceName> Services_; ///< Empty means all services.

  auto operator<=>(AccountInput const &) const = default;
};

/// Converts between domain types and messages of the operators' interface.
/// Decoding validates every value; an error names the first invalid field.
/// Encoding a value for a reply omits keys and digests.
proto::Service encode(Service const &Value);
proto::Account encode(ClientAccount const &Value);
proto::Account encode(AccountInput const &Value);
proto::Server encode(BackendServer const &Value);
proto::Object encode(ObjectView const &Value);
proto::ObjectKind encode(ObjectKind Kind);
/// Without the operator's name, which the server knows from the key.
proto::Change encode(OperatorChange const &Value);
proto::ListObjectsRequest encode(ObjectQuery const &Value);
proto::ListAuditTrailRequest encode(AuditQuery const &Value);
proto::DrainRequest encode(DrainOrder const &Value);

Result<Service> decode(proto::Service const &Message);
Result<BackendServer> decode(proto::Server const &Message);
/// Replaces the key by its digest and hint.
Result<AccountChange> decode(proto::Account const &Message);
/// Decodes an account of a reply, which has no digest.
Result<ClientAccount> decodeView(proto::Account const &Message);
Result<ObjectView> decode(proto::Object const &Message);
std::optional<ObjectKind> decode(proto::ObjectKind Kind);
Result<OperatorChange> decode(proto::Change const &Message);
Result<ObjectName> decode(proto::DeleteRequest const &Message);
Result<ObjectQuery> decode(proto::ListObjectsRequest const &Message);
Result<AuditQuery> decode(proto::ListAuditTrailRequest const &Message);
Result<DrainOrder> decode(proto::DrainRequest const &Message);

} // namespace laburnum
