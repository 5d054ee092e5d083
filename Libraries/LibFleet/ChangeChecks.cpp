#include <LibFleet/ChangeChecks.h>

#include <LibModel/JsonCodec.h>

#include <nlohmann/json.hpp>

namespace laburnum::detail {

namespace {

/// With JSON escapes and audit entries the stored value stays below the
/// platform's limit of 1 MiB.
constexpr std::size_t MaxSpecificationBytes = std::size_t(256) << 10;
/// Of names, change identifiers and operators.
constexpr std::size_t MaxTextBytes = 256;

/// Of a specification in an audit entry. Fifty such entries, with each byte
/// escaped, and the longest specification fit into one object.
constexpr std::size_t MaxAuditedSpecificationBytes = std::size_t(4) << 10;

/// Truncates Text to at most MaxBytes bytes, at a UTF-8 character boundary, and
/// appends a marker if anything was cut.
std::string truncate(std::string Text, std::size_t MaxBytes) {
  constexpr unsigned ContinuationMask = 0xC0;
  constexpr unsigned Continuation = 0x80;
  if (Text.size() <= MaxBytes)
    return Text;
  while (MaxBytes > 0 && (static_cast<unsigned char>(Text[MaxBytes]) &
                          ContinuationMask) == Continuation)
    --MaxBytes;
  Text.resize(MaxBytes);
  return Text + "... (cut)";
}

Error invalid(std::string const &What, std::string const &Remedy) {
  return {ErrorKind::InvalidArgument, What, Remedy};
}

bool isValidText(std::string const &Text) {
  return !Text.empty() && Text.size() <= MaxTextBytes;
}

/// The name that the specification gives to its object.
Result<std::string> specifiedName(Change const &Requested) {
  auto const NameOf = [](auto const &Decoded,
                         auto const &Text) -> Result<std::string> {
    if (isError(Decoded))
      return errorOf(Decoded);
    return Text(valueOf(Decoded));
  };
  switch (Requested.Name_.Kind_) {
  case ObjectKind::Service:
    return NameOf(decodeService(Requested.Specification_),
                  [](Service const &Value) { return Value.Name_.text(); });
  case ObjectKind::Account:
    return NameOf(
        decodeClientAccount(Requested.Specification_),
        [](ClientAccount const &Value) { return Value.Name_.text(); });
  case ObjectKind::Server:
    return NameOf(decodeBackendServer(Requested.Specification_),
                  [](BackendServer const &Value) { return Value.Id_.text(); });
  }
  return invalid("the kind is not known", "use service, account or server");
}

} // namespace

Result<Success> checkChange(Change const &Requested) {
  if (!isValidText(Requested.Id_.text()))
    return invalid("the change identifier is empty or too long",
                   "choose one of 1 to 256 bytes");
  if (!isValidText(Requested.Name_.Name_) ||
      Requested.Operator_.size() > MaxTextBytes)
    return invalid("the object's or the operator's name is empty or too long",
                   "give names of 1 to 256 bytes");
  if (Requested.Change_ == ChangeKind::Delete)
    return Success{};
  if (Requested.Specification_.size() > MaxSpecificationBytes)
    return invalid("the specification is too large", "keep it below 256 KiB");
  auto const Named = specifiedName(Requested);
  if (isError(Named))
    return errorOf(Named);
  if (valueOf(Named) != Requested.Name_.Name_)
    return invalid("the specification names \"" + valueOf(Named) +
                       "\", the change \"" + Requested.Name_.Name_ + "\"",
                   "give both the same name");
  return Success{};
}

std::string auditedSpecification(Change const &Requested) {
  if (Requested.Name_.Kind_ != ObjectKind::Account)
    return truncate(Requested.Specification_, MaxAuditedSpecificationBytes);
  auto Parsed = nlohmann::json::parse(Requested.Specification_, nullptr, false);
  if (!Parsed.is_object())
    return "";
  Parsed.erase("key_digest");
  return truncate(
      Parsed.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
      MaxAuditedSpecificationBytes);
}

} // namespace laburnum::detail
