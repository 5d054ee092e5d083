#pragma once

#include <LibModel/Configuration.h>

#include <memory>
#include <string>

namespace laburnum {

/// Tells who calls, by one configuration.
class Authenticator {
public:
  explicit Authenticator(std::shared_ptr<Configuration const> Snapshot);

  /// The account whose key the Authorization field carries. Errors:
  /// Unauthenticated (no key, another scheme or an unknown key),
  /// PermissionDenied (the account may not use the service).
  Result<ClientAccount> authenticate(std::string const &AuthorizationField,
                                     ServiceName const &Service) const;

private:
  std::shared_ptr<Configuration const> Snapshot_;
};

} // namespace laburnum
