#pragma once

#include "Report.h"

#include <LibAdmin/OperatorViews.h>

#include <vector>

namespace laburnum {

/// The object's name, whatever its kind.
std::string nameOf(ObjectView const &View);

/// The objects' main fields in a table; JSON has all of them.
Report reportObjects(ObjectKind Kind, std::vector<ObjectView> const &Views);

/// One object with all its fields.
Report reportObject(ObjectView const &View);

} // namespace laburnum
