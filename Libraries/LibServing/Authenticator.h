#pragma once

#include <LibCore/Result.h>
#include <LibModel/Configuration.h>

#include <string>

namespace laburnum {

/// Returns the account whose key the Authorization field carries. Error:
/// Unauthenticated (no key, another scheme or an unknown key).
Result<ClientAccount> authenticate(std::string const &AuthorizationField,
                                   Configuration const &InForce);

/// Checks that the account may use the service. Error: PermissionDenied.
Result<Success> checkPermission(ClientAccount const &Account,
                                ServiceName const &Service);

} // namespace laburnum
