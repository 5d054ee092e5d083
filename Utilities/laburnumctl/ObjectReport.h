#pragma once

#include "Report.h"

#include <LibAdmin/OperatorViews.h>

#include <vector>

namespace laburnum {

/// The name of an object of any kind.
std::string nameOf(ObjectView const &View);

/// The objects as a table of their main fields; the JSON has all fields.
Report reportObjects(ObjectKind Kind, std::vector<ObjectView> const &Views);

/// One object with all its fields.
Report reportObject(ObjectView const &View);

} // namespace laburnum
