#pragma once

#include <LibPeer/PeerMessage.h>

#include <msgpack.hpp>

#include <concepts>
#include <cstdint>
#include <string>
#include <tuple>
#include <type_traits>
#include <vector>

/// The fields of each type sent over peer connections, in wire order, and their
/// encoding: a structure is packed as an array of its fields. A new message
/// type needs only a fieldsOf() here.
namespace laburnum::detail {

template <typename Value, typename Target>
concept Of = std::same_as<std::remove_cvref_t<Value>, Target>;

auto fieldsOf(Of<AccountConsumption> auto &Value) {
  return std::tie(Value.Account_, Value.Admitted_, Value.Asked_);
}
auto fieldsOf(Of<ServiceDemand> auto &Value) {
  return std::tie(Value.Service_, Value.Running_, Value.Waiting_, Value.Begun_);
}
auto fieldsOf(Of<WindowUsage> auto &Value) {
  return std::tie(Value.Window_, Value.Account_, Value.Count_);
}
auto fieldsOf(Of<ConsumptionReport> auto &Value) {
  return std::tie(Value.Accounts_, Value.Services_, Value.Usage_,
                  Value.TimeOfDay_);
}
auto fieldsOf(Of<UpdatedObject> auto &Value) {
  return std::tie(Value.Name_, Value.Version_, Value.Value_, Value.Encoding_);
}
auto fieldsOf(Of<CollectionUpdate> auto &Value) {
  return std::tie(Value.Collection_, Value.From_, Value.To_, Value.Age_,
                  Value.Objects_);
}
auto fieldsOf(Of<StoreUpdate> auto &Value) {
  return std::tie(Value.Origin_, Value.Number_, Value.Propagation_,
                  Value.ReplyTo_, Value.Collections_);
}
auto fieldsOf(Of<SnapshotRequest> auto &Value) {
  return std::tie(Value.ReplyTo_, Value.Collections_);
}
auto fieldsOf(Of<ConsumptionSum> auto &Value) {
  return std::tie(Value.Origin_, Value.Number_, Value.Role_,
                  Value.Incarnations_, Value.Accounts_, Value.TimeOfDay_);
}
auto fieldsOf(Of<ServerRateLimit> auto &Value) {
  return std::tie(Value.Incarnation_, Value.State_,
                  Value.MicroRequestsPerSecond_, Value.Age_);
}
auto fieldsOf(Of<ServerRateLimits> auto &Value) {
  return std::tie(Value.Limits_);
}
auto fieldsOf(Of<ServerWork> auto &Value) {
  return std::tie(Value.Incarnation_, Value.UnreadTokens_, Value.MemoryTokens_,
                  Value.PreferredPerSecond_);
}
auto fieldsOf(Of<ServiceWork> auto &Value) {
  return std::tie(Value.Service_, Value.UnsharedPerSecond_,
                  Value.UrgentPerSecond_, Value.Answers_, Value.Tokens_,
                  Value.SquaredTokens_, Value.Milliseconds_,
                  Value.TokenMilliseconds_);
}
auto fieldsOf(Of<EngineWorkReport> auto &Value) {
  return std::tie(Value.Servers_, Value.Services_);
}
auto fieldsOf(Of<EngineWorkSum> auto &Value) {
  return std::tie(Value.Origin_, Value.Number_, Value.Servers_,
                  Value.Services_);
}
auto fieldsOf(Of<RolloutShare> auto &Value) {
  return std::tie(Value.Service_, Value.Target_, Value.PartsPerMillion_);
}
auto fieldsOf(Of<RolloutShares> auto &Value) {
  return std::tie(Value.Origin_, Value.Number_, Value.Fence_, Value.Shares_);
}
auto fieldsOf(Of<VersionAnswers> auto &Value) {
  return std::tie(Value.Service_, Value.Version_, Value.Route_, Value.Answers_,
                  Value.Failures_, Value.Slow_, Value.Running_);
}
auto fieldsOf(Of<VersionReport> auto &Value) {
  return std::tie(Value.Answers_);
}
auto fieldsOf(Of<Endpoint> auto &Value) {
  return std::tie(Value.Host_, Value.Port_);
}
auto fieldsOf(Of<EntryInstance> auto &Value) {
  return std::tie(Value.Id_, Value.DataCentre_, Value.Callers_, Value.Peers_,
                  Value.Operators_);
}
auto fieldsOf(Of<Hello> auto &Value) {
  return std::tie(Value.Secret_, Value.Sender_);
}
auto fieldsOf(Of<MemberUpdate> auto &Value) {
  return std::tie(Value.Instance_, Value.State_, Value.IncarnationNumber_,
                  Value.ConfigurationVersion_, Value.ConfigurationDigest_);
}
auto fieldsOf(Of<Heartbeat> auto &Value) {
  return std::tie(Value.Kind_, Value.Sequence_, Value.Target_, Value.Updates_);
}
auto fieldsOf(Of<ConfigurationDigest> auto &Value) {
  return std::tie(Value.Version_, Value.Digest_, Value.ReplyTo_);
}
auto fieldsOf(Of<ObjectName> auto &Value) {
  return std::tie(Value.Kind_, Value.Name_);
}
auto fieldsOf(Of<ConfigurationObject> auto &Value) {
  return std::tie(Value.Name_, Value.Version_, Value.IsDeleted_,
                  Value.Specification_, Value.ChangeVersion_);
}
auto fieldsOf(Of<ConfigurationObjects> auto &Value) {
  return std::tie(Value.Objects_);
}
auto fieldsOf(Of<ObjectVersion> auto &Value) {
  return std::tie(Value.Name_, Value.Version_);
}
auto fieldsOf(Of<ConfigurationRequest> auto &Value) {
  return std::tie(Value.Held_, Value.ReplyTo_);
}
auto fieldsOf(Of<ServerLeavingNotice> auto &Value) {
  return std::tie(Value.Server_, Value.Liveness_, Value.Remaining_,
                  Value.ServerVersion_, Value.Hold_);
}
auto fieldsOf(Of<CrashReport> auto &Value) {
  return std::tie(Value.Incident_, Value.Fingerprint_, Value.Server_,
                  Value.Evidence_, Value.Age_);
}
auto fieldsOf(Of<CrashReports> auto &Value) { return std::tie(Value.Reports_); }
auto fieldsOf(Of<ServerReserved> auto &Value) {
  return std::tie(Value.Server_, Value.Fingerprint_, Value.Owner_, Value.State_,
                  Value.Remaining_);
}
auto fieldsOf(Of<AccountDemand> auto &Value) {
  return std::tie(Value.Account_, Value.RequestsPerSecond_,
                  Value.TokensPerSecond_);
}
auto fieldsOf(Of<DemandReport> auto &Value) { return std::tie(Value.Demands_); }
auto fieldsOf(Of<AccountShare> auto &Value) {
  return std::tie(Value.Account_, Value.PartsPerMillion_);
}
auto fieldsOf(Of<ShareGrant> auto &Value) {
  return std::tie(Value.Shares_, Value.Valid_);
}

auto fieldsOf(Of<StreamName> auto &Value) {
  return std::tie(Value.Account_, Value.Key_);
}
auto fieldsOf(Of<StreamContent> auto &Value) {
  return std::tie(Value.Service_, Value.Fingerprint_, Value.Prompt_,
                  Value.MaxTokens_, Value.Priority_, Value.Remaining_);
}
auto fieldsOf(Of<StreamEpoch> auto &Value) {
  return std::tie(Value.Run_, Value.Number_, Value.Owner_, Value.Age_);
}
auto fieldsOf(Of<StreamCheckpoint> auto &Value) {
  return std::tie(Value.Name_, Value.Owner_, Value.Epoch_, Value.Content_,
                  Value.From_, Value.Tokens_, Value.Total_, Value.Phase_);
}
auto fieldsOf(Of<StreamQuery> auto &Value) {
  return std::tie(Value.Name_, Value.Fingerprint_, Value.Requester_,
                  Value.Ticket_, Value.Mode_);
}
auto fieldsOf(Of<StreamState> auto &Value) {
  return std::tie(Value.Name_, Value.Ticket_, Value.Knowledge_, Value.Epoch_,
                  Value.Owner_, Value.Count_);
}
auto fieldsOf(Of<StreamHandOver> auto &Value) {
  return std::tie(Value.Stream_, Value.Ticket_);
}

/// The last enumerator of each enumeration; larger numbers are rejected.
constexpr CollectorRole lastOf(CollectorRole /*Any*/) {
  return CollectorRole::HoldsLease;
}
constexpr RateLimitState lastOf(RateLimitState /*Any*/) {
  return RateLimitState::Lifted;
}
constexpr Propagation lastOf(Propagation /*Any*/) { return Propagation::None; }
constexpr ValueEncoding lastOf(ValueEncoding /*Any*/) {
  return ValueEncoding::Compressed;
}
constexpr MemberState lastOf(MemberState /*Any*/) { return MemberState::Gone; }
constexpr HeartbeatKind lastOf(HeartbeatKind /*Any*/) {
  return HeartbeatKind::Gossip;
}
constexpr ObjectKind lastOf(ObjectKind /*Any*/) { return ObjectKind::Server; }
constexpr Liveness lastOf(Liveness /*Any*/) { return Liveness::Gone; }
constexpr CrashEvidence lastOf(CrashEvidence /*Any*/) {
  return CrashEvidence::Cleared;
}
constexpr ReservationState lastOf(ReservationState /*Any*/) {
  return ReservationState::Released;
}
constexpr StreamPhase lastOf(StreamPhase /*Any*/) {
  return StreamPhase::Complete;
}
constexpr StreamQueryMode lastOf(StreamQueryMode /*Any*/) {
  return StreamQueryMode::Adopt;
}
constexpr StreamKnowledge lastOf(StreamKnowledge /*Any*/) {
  return StreamKnowledge::KeyReused;
}

/// How many fields at the end of a type were added to a release. They are
/// packed only if one of them is not at its default, so that earlier releases
/// read all other values.
template <typename Value> constexpr std::size_t AddedFields = 0;
template <> inline constexpr std::size_t AddedFields<UpdatedObject> = 1;

constexpr bool hasAddedFields(auto const & /*Value*/) { return true; }
inline bool hasAddedFields(UpdatedObject const &Value) {
  return Value.Encoding_ != ValueEncoding::Plain;
}

template <typename Value> struct IsVector : std::false_type {};
template <typename Item> struct IsVector<std::vector<Item>> : std::true_type {};

template <typename Value> struct IsIdentifier : std::false_type {};
template <typename Tag>
struct IsIdentifier<Identifier<Tag>> : std::true_type {};

template <typename Value>
constexpr bool IsPlain =
    std::is_integral_v<Value> || std::same_as<Value, std::string>;

template <typename Packer, typename Value>
void packFields(Packer &Into, Value const &From) {
  if constexpr (IsPlain<Value>) {
    Into.pack(From);
  } else if constexpr (std::is_enum_v<Value>) {
    Into.pack(static_cast<std::uint64_t>(From));
  } else if constexpr (IsIdentifier<Value>::value) {
    Into.pack(From.text());
  } else if constexpr (std::same_as<Value, Duration>) {
    Into.pack(static_cast<std::int64_t>(From.count()));
  } else if constexpr (IsVector<Value>::value) {
    Into.pack_array(static_cast<std::uint32_t>(From.size()));
    for (auto const &Item : From)
      packFields(Into, Item);
  } else {
    auto const Fields = fieldsOf(From);
    auto const Count = std::tuple_size_v<decltype(Fields)> -
                       (hasAddedFields(From) ? 0 : AddedFields<Value>);
    Into.pack_array(static_cast<std::uint32_t>(Count));
    std::size_t Index = 0;
    auto const PackNext = [&](auto const &Each) {
      if (Index++ < Count)
        packFields(Into, Each);
    };
    std::apply([&](auto const &...Each) { (PackNext(Each), ...); }, Fields);
  }
}

/// Returns the items of an array; throws msgpack::type_error otherwise.
inline msgpack::object_array const &itemsOf(msgpack::object const &From) {
  if (From.type != msgpack::type::ARRAY)
    throw msgpack::type_error();
  return From.via.array;
}

/// Throws msgpack::type_error if the object does not hold a value of that type.
template <typename Value>
void unpackFields(msgpack::object const &From, Value &To) {
  if constexpr (IsPlain<Value>) {
    To = From.as<Value>();
  } else if constexpr (std::is_enum_v<Value>) {
    auto const Number = From.as<std::uint64_t>();
    if (Number > static_cast<std::uint64_t>(lastOf(Value())))
      throw msgpack::type_error();
    To = static_cast<Value>(Number);
  } else if constexpr (IsIdentifier<Value>::value) {
    To = Value(From.as<std::string>());
  } else if constexpr (std::same_as<Value, Duration>) {
    To = Duration(From.as<std::int64_t>());
  } else if constexpr (IsVector<Value>::value) {
    auto const &Items = itemsOf(From);
    for (std::uint32_t Index = 0; Index < Items.size; ++Index)
      unpackFields(Items.ptr[Index], To.emplace_back());
  } else {
    auto const Fields = fieldsOf(To);
    auto const &Items = itemsOf(From);
    constexpr auto Count = std::tuple_size_v<decltype(Fields)>;
    if (Items.size != Count && Items.size != Count - AddedFields<Value>)
      throw msgpack::type_error();
    std::uint32_t Index = 0;
    auto const UnpackNext = [&](auto &Each) {
      if (Index < Items.size)
        unpackFields(Items.ptr[Index++], Each);
    };
    std::apply([&](auto &...Each) { (UnpackNext(Each), ...); }, Fields);
  }
}

} // namespace laburnum::detail
