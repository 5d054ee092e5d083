#include <LibControl/RolloutRecordCodec.h>

#include <LibCore/JsonDump.h>

#include <nlohmann/json.hpp>

#include <array>
#include <chrono>

namespace laburnum::detail {

namespace {

using nlohmann::json;

constexpr std::array Stages = {RolloutStage::Trial, RolloutStage::Enlarged,
                               RolloutStage::Full, RolloutStage::Completed,
                               RolloutStage::RolledBack};

std::int64_t milliseconds(Duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

} // namespace

std::string_view toString(RolloutStage Stage) {
  switch (Stage) {
  case RolloutStage::Trial:
    return "trial";
  case RolloutStage::Enlarged:
    return "enlarged";
  case RolloutStage::Full:
    return "full";
  case RolloutStage::Completed:
    return "completed";
  case RolloutStage::RolledBack:
    return "rolled_back";
  }
  return "unknown";
}

std::string encode(RolloutRecord const &Record) {
  return dumpJson({{"order", Record.Order_},
                   {"service", Record.What_.Service_.text()},
                   {"version", Record.What_.Target_},
                   {"time_ms", milliseconds(Record.What_.Time_)},
                   {"stage", toString(Record.Stage_)},
                   {"begun_ms", milliseconds(Record.BegunAt_)}});
}

std::optional<RolloutRecord> decodeRolloutRecord(std::string const &Text) {
  try {
    auto const Value = json::parse(Text);
    RolloutRecord Record;
    Record.Order_ = Value.at("order").get<std::uint64_t>();
    Record.What_.Service_ = ServiceName(Value.at("service").get<std::string>());
    Record.What_.Target_ = Value.at("version").get<std::string>();
    Record.What_.Time_ =
        std::chrono::milliseconds(Value.at("time_ms").get<std::int64_t>());
    Record.BegunAt_ =
        std::chrono::milliseconds(Value.at("begun_ms").get<std::int64_t>());
    auto const Name = Value.at("stage").get<std::string>();
    for (auto const Stage : Stages)
      if (Name == toString(Stage)) {
        Record.Stage_ = Stage;
        return Record;
      }
  } catch (json::exception const &) {
  }
  return std::nullopt;
}

} // namespace laburnum::detail
