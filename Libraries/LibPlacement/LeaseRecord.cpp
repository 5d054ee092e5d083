#include <LibPlacement/LeaseRecord.h>

#include <LibModel/JsonReader.h>

namespace laburnum {

std::string encodeLease(LeaseRecord const &Value) {
  nlohmann::json const Encoded = {{"holder", Value.Holder_.text()},
                                  {"nonce", Value.Nonce_.text()}};
  return Encoded.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<LeaseRecord> decodeLease(std::string const &Json) {
  auto const Parsed = nlohmann::json::parse(Json, nullptr, false);
  JsonReader Reader(Parsed, "a lease");
  LeaseRecord Value;
  Value.Holder_ = InstanceId(Reader.text("holder"));
  Value.Nonce_ = Nonce(Reader.text("nonce"));
  if (auto Failure = Reader.finish())
    return *Failure;
  return Value;
}

} // namespace laburnum
