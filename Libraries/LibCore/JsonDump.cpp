#include <LibCore/JsonDump.h>

#include <nlohmann/json.hpp>

namespace laburnum {

std::string dumpJson(nlohmann::json const &Value) {
  return Value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace laburnum
