#include <LibServing/ClaimBucket.h>

#include <LibModel/JsonReader.h>

#include <nlohmann/json.hpp>

#include <array>
#include <limits>
#include <utility>
#include <vector>

namespace laburnum {

namespace {

using nlohmann::json;

constexpr std::string_view HexDigits = "0123456789abcdef";

/// Keys and answers may contain arbitrary bytes, which JSON cannot represent.
std::string toHex(std::string const &Bytes) {
  std::string Hex;
  Hex.reserve(Bytes.size() * 2);
  for (unsigned char const Byte : Bytes) {
    Hex.push_back(HexDigits[Byte >> 4U]);
    Hex.push_back(HexDigits[Byte & 15U]);
  }
  return Hex;
}

std::optional<std::string> fromHex(std::string const &Hex) {
  if (Hex.size() % 2 != 0)
    return std::nullopt;
  std::string Bytes;
  Bytes.reserve(Hex.size() / 2);
  for (std::size_t Index = 0; Index < Hex.size(); Index += 2) {
    auto const High = HexDigits.find(Hex[Index]);
    auto const Low = HexDigits.find(Hex[Index + 1]);
    if (High == std::string_view::npos || Low == std::string_view::npos)
      return std::nullopt;
    Bytes.push_back(static_cast<char>(High * 16 + Low));
  }
  return Bytes;
}

struct StateName {
  ClaimState State_;
  char const *Name_;
};

constexpr std::array<StateName, 3> StateNames{
    {{ClaimState::Intent, "intent"},
     {ClaimState::Done, "done"},
     {ClaimState::NotRun, "not_run"}}};

std::string nameOf(ClaimState State) {
  for (auto const &Mapping : StateNames)
    if (Mapping.State_ == State)
      return Mapping.Name_;
  return "intent";
}

std::optional<ClaimState> stateNamed(std::string const &Name) {
  for (auto const &Mapping : StateNames)
    if (Name == Mapping.Name_)
      return Mapping.State_;
  return std::nullopt;
}

json toJson(ClaimEntry const &Entry) {
  json Object = {{"account", Entry.Id_.Account_.text()},
                 {"key", toHex(Entry.Id_.Key_.text())},
                 {"fingerprint", std::to_string(Entry.Fingerprint_)},
                 {"nonce", Entry.Nonce_.text()},
                 {"state", nameOf(Entry.State_)}};
  if (Entry.State_ != ClaimState::Done)
    return Object;
  Object["status"] = Entry.Answer_.Status_;
  if (!Entry.IsAnswerStored_)
    return Object;
  Object["content_type"] = toHex(Entry.Answer_.ContentType_);
  Object["body"] = toHex(Entry.Answer_.Body_);
  return Object;
}

std::string dump(json const &Object) {
  return Object.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string hexText(JsonReader &Reader, std::string const &Key) {
  auto Bytes = fromHex(Reader.text(Key));
  if (!Bytes)
    Reader.fail(Key, "hexadecimal text");
  return std::move(Bytes).value_or("");
}

std::uint64_t decimal(JsonReader &Reader, std::string const &Key) {
  auto const Text = Reader.text(Key);
  std::uint64_t Number = 0;
  for (char const Digit : Text) {
    if (Digit < '0' || Digit > '9')
      Reader.fail(Key, "a decimal number");
    Number = Number * 10 + static_cast<std::uint64_t>(Digit - '0');
  }
  return Number;
}

Result<ClaimEntry> entryFrom(json const &Object) {
  JsonReader Reader(Object, "claim entry");
  ClaimEntry Entry;
  Entry.Id_.Account_ = AccountName(Reader.text("account"));
  Entry.Id_.Key_ = IdempotencyKey(hexText(Reader, "key"));
  Entry.Fingerprint_ = decimal(Reader, "fingerprint");
  Entry.Nonce_ = Nonce(Reader.text("nonce"));
  auto const State = stateNamed(Reader.text("state"));
  if (!State)
    Reader.fail("state", "intent, done or not_run");
  Entry.State_ = State.value_or(ClaimState::Intent);
  if (Entry.State_ == ClaimState::Done)
    Entry.Answer_.Status_ =
        static_cast<std::int32_t>(Reader.integer("status", 0, 999));
  Entry.IsAnswerStored_ = Object.is_object() && Object.contains("body");
  if (Entry.IsAnswerStored_) {
    Entry.Answer_.ContentType_ = hexText(Reader, "content_type");
    Entry.Answer_.Body_ = hexText(Reader, "body");
  }
  if (auto Failure = Reader.finish())
    return *Failure;
  return Entry;
}

Error notABucket() {
  return {ErrorKind::Internal, "a claims bucket holds something else",
          "look at the object in the platform; it is not overwritten"};
}

} // namespace

Result<ClaimBucket> ClaimBucket::decode(std::string const &Json) {
  ClaimBucket Bucket;
  if (Json.empty())
    return Bucket;
  auto const Parsed = json::parse(Json, nullptr, false);
  if (!Parsed.is_object() || !Parsed.contains("entries") ||
      !Parsed["entries"].is_array())
    return notABucket();
  for (auto const &Object : Parsed["entries"]) {
    auto Entry = entryFrom(Object);
    if (isError(Entry))
      return errorOf(Entry);
    Bucket.put(takeValue(std::move(Entry)));
  }
  return Bucket;
}

std::string ClaimBucket::encode(Nonce const &Write) const {
  std::string Json = "{\"last_write\":" + dump(Write.text()) + ",\"entries\":[";
  Json.reserve(encodedBytes());
  char const *Separator = "";
  auto const Append = [&](Slot const &Stored) {
    Json += std::exchange(Separator, ",") + Stored.Json_;
  };
  for (auto const &[Id, Stored] : Slots_)
    if (Stored.Entry_.State_ == ClaimState::Intent)
      Append(Stored);
  for (auto const &[Order, Id] : FinishedInOrder_)
    Append(Slots_.at(Id));
  return Json + "]}";
}

ClaimEntry const *ClaimBucket::find(ClaimId const &Id) const {
  auto const Found = Slots_.find(Id);
  return Found == Slots_.end() ? nullptr : &Found->second.Entry_;
}

void ClaimBucket::put(ClaimEntry Entry) { add(std::move(Entry), NextOrder_++); }

void ClaimBucket::prune(std::size_t Finished, std::size_t Room,
                        std::size_t Limit) {
  while (FinishedInOrder_.size() > Finished)
    erase(ClaimId(FinishedInOrder_.begin()->second));
  while (encodedBytes() + Room > Limit && !AnswersInOrder_.empty())
    dropOldestAnswer();
  while (encodedBytes() + Room > Limit && !FinishedInOrder_.empty())
    erase(ClaimId(FinishedInOrder_.begin()->second));
}

std::size_t ClaimBucket::encodedBytes(ClaimEntry const &Entry) {
  return dump(toJson(Entry)).size() + 1; // The comma.
}

void ClaimBucket::add(ClaimEntry Entry, std::uint64_t Order) {
  auto const Id = Entry.Id_;
  erase(Id);
  auto Json = dump(toJson(Entry));
  Slot Stored{std::move(Entry), std::move(Json), Order};
  Bytes_ += Stored.bytes();
  if (Stored.Entry_.State_ == ClaimState::Intent)
    IntentBytes_ += Stored.bytes();
  else
    FinishedInOrder_.emplace(Order, Id);
  if (Stored.Entry_.IsAnswerStored_)
    AnswersInOrder_.emplace(Order, Id);
  Slots_.emplace(Id, std::move(Stored));
}

void ClaimBucket::erase(ClaimId const &Id) {
  auto const Found = Slots_.find(Id);
  if (Found == Slots_.end())
    return;
  auto const &Stored = Found->second;
  Bytes_ -= Stored.bytes();
  if (Stored.Entry_.State_ == ClaimState::Intent)
    IntentBytes_ -= Stored.bytes();
  FinishedInOrder_.erase(Stored.Order_);
  AnswersInOrder_.erase(Stored.Order_);
  Slots_.erase(Found);
}

void ClaimBucket::dropOldestAnswer() {
  auto const [Order, Id] = *AnswersInOrder_.begin();
  auto Entry = Slots_.at(Id).Entry_;
  Entry.IsAnswerStored_ = false;
  Entry.Answer_ = {Entry.Answer_.Status_, "", ""};
  add(std::move(Entry), Order);
}

} // namespace laburnum
