#pragma once

#include <LibControl/RolloutController.h>

#include <optional>
#include <string>

namespace laburnum::detail {

/// The collection of the records; an object's name is its service's.
inline constexpr char const *RolloutRecordCollection = "entry-rollouts";

std::string encode(RolloutRecord const &Record);
/// Returns nothing if the text is not a record.
std::optional<RolloutRecord> decodeRolloutRecord(std::string const &Text);

/// The name of a stage in records, logs and the order's status.
std::string_view toString(RolloutStage Stage);

} // namespace laburnum::detail
