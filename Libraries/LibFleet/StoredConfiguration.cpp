#include <LibFleet/StoredConfiguration.h>

#include <LibModel/JsonReader.h>

#include <limits>

namespace laburnum {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t MaxInteger = std::numeric_limits<std::int64_t>::max();

std::string changeName(ChangeKind Kind) {
  return Kind == ChangeKind::Delete ? "delete" : "apply";
}

Json encodeEntries(std::vector<ChangeRecord> const &Entries) {
  Json Encoded = Json::array();
  for (auto const &Entry : Entries)
    Encoded.push_back({{"change", Entry.Change_.text()},
                       {"kind", changeName(Entry.Kind_)},
                       {"operator", Entry.Operator_},
                       {"unix_time", Entry.UnixTime_},
                       {"replaced_version", Entry.ReplacedVersion_},
                       {"specification", Entry.Specification_},
                       {"instance", Entry.Instance_.text()}});
  return Encoded;
}

ChangeRecord readEntry(JsonReader &Reader) {
  ChangeRecord Entry;
  Entry.Change_ = ChangeId(Reader.text("change"));
  auto const Kind = Reader.text("kind");
  if (Kind != "apply" && Kind != "delete")
    Reader.fail("kind", "\"apply\" or \"delete\"");
  Entry.Kind_ = Kind == "delete" ? ChangeKind::Delete : ChangeKind::Apply;
  Entry.Operator_ = Reader.text("operator");
  Entry.UnixTime_ = Reader.integer("unix_time", -MaxInteger, MaxInteger);
  Entry.ReplacedVersion_ =
      static_cast<Version>(Reader.integer("replaced_version", 0, MaxInteger));
  Entry.Specification_ = Reader.textOr("specification", "");
  Entry.Instance_ = InstanceId(Reader.textOr("instance", ""));
  return Entry;
}

std::vector<ChangeRecord> readEntries(JsonReader &Reader) {
  std::vector<ChangeRecord> Entries;
  auto const *Items = Reader.array("audit");
  if (!Items)
    return Entries;
  for (auto const &Item : *Items) {
    JsonReader Nested(Item, "an audit entry");
    Entries.push_back(readEntry(Nested));
    Reader.takeError(std::move(Nested));
  }
  return Entries;
}

Error notJson() {
  return {ErrorKind::InvalidArgument, "a stored object is not JSON",
          "look at the object in the platform; write it anew if it is damaged"};
}

/// Replaces invalid UTF-8, so that encoding cannot fail.
std::string dump(Json const &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

Version changeVersionOf(StoredConfiguration const &Value) {
  return Value.Audit_.empty() ? 0 : Value.Audit_.back().ReplacedVersion_ + 1;
}

std::string encodeStored(StoredConfiguration const &Value) {
  return dump({{"specification", Value.Specification_},
               {"deleted", Value.IsDeleted_},
               {"last_change", Value.LastChange_.text()},
               {"audit", encodeEntries(Value.Audit_)},
               {"archived_pages", Value.ArchivedPages_}});
}

Result<StoredConfiguration> decodeStored(std::string const &Text) {
  auto const Parsed = Json::parse(Text, nullptr, false);
  if (Parsed.is_discarded())
    return notJson();
  JsonReader Reader(Parsed, "a stored object");
  StoredConfiguration Value;
  Value.Specification_ = Reader.text("specification");
  Value.IsDeleted_ = Reader.boolean("deleted");
  Value.LastChange_ = ChangeId(Reader.text("last_change"));
  Value.Audit_ = readEntries(Reader);
  Value.ArchivedPages_ = static_cast<std::uint64_t>(
      Reader.integer("archived_pages", 0, MaxInteger));
  if (auto Failure = Reader.finish())
    return *Failure;
  return Value;
}

std::string encodeAuditPage(std::vector<ChangeRecord> const &Entries) {
  return dump({{"audit", encodeEntries(Entries)}});
}

Result<std::vector<ChangeRecord>> decodeAuditPage(std::string const &Text) {
  auto const Parsed = Json::parse(Text, nullptr, false);
  if (Parsed.is_discarded())
    return notJson();
  JsonReader Reader(Parsed, "a page of audit entries");
  auto Entries = readEntries(Reader);
  if (auto Failure = Reader.finish())
    return *Failure;
  return Entries;
}

Result<ConfigurationObject> configurationObjectOf(ObjectKind Kind,
                                                  StoredObject const &Stored) {
  auto Decoded = decodeStored(Stored.Value_);
  if (isError(Decoded))
    return errorOf(Decoded);
  auto const &Value = valueOf(Decoded);
  return ConfigurationObject{{Kind, Stored.Key_.Name_},
                             Stored.Version_,
                             Value.IsDeleted_,
                             Value.Specification_,
                             changeVersionOf(Value)};
}

} // namespace laburnum
