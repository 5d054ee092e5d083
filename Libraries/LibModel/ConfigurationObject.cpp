#include <LibModel/ConfigurationObject.h>

namespace laburnum {

std::string toString(ObjectKind Kind) {
  switch (Kind) {
  case ObjectKind::Service:
    return "service";
  case ObjectKind::Account:
    return "account";
  case ObjectKind::Server:
    return "server";
  }
  return "service";
}

} // namespace laburnum
