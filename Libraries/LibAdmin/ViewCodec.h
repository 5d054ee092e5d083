#pragma once

#include <LibAdmin/ProtoCodec.h>

namespace laburnum {

/// Converts the system's reports about itself. The operator's tool decodes
/// them; its errors name the invalid field of the reply.
proto::Instance encode(InstanceView const &Value);
proto::InstanceConfiguration encode(ConfigurationInForce const &Value);
/// An account's specification is sent without its key digest.
proto::AuditEntry encode(AuditEntry const &Value);
proto::Reclaim encode(ReclaimView const &Value);
proto::Metric encode(MetricSnapshot const &Value);
proto::ReadStatusReply encode(StatusView const &Value);

Result<InstanceView> decode(proto::Instance const &Message);
Result<ConfigurationInForce>
decode(proto::InstanceConfiguration const &Message);
Result<AuditEntry> decode(proto::AuditEntry const &Message);
Result<ReclaimView> decode(proto::Reclaim const &Message);
Result<MetricSnapshot> decode(proto::Metric const &Message);
Result<StatusView> decode(proto::ReadStatusReply const &Message);

/// "live", "leaving" or "gone".
std::string toString(Liveness State);
/// "entry" or "server".
std::string toString(InstanceRole Role);
/// "apply" or "delete".
std::string toString(ChangeAction Action);
/// "ok", "warning" or "critical".
std::string toString(Severity Level);

} // namespace laburnum
