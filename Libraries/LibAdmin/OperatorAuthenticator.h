#pragma once

#include <LibCore/Result.h>
#include <LibSettings/DaemonSettings.h>

#include <string>
#include <vector>

namespace laburnum {

/// Tells from the "authorization" metadata who the operator is.
class OperatorAuthenticator {
public:
  explicit OperatorAuthenticator(std::vector<OperatorKey> const &Keys);

  /// The operator's name, or Unauthenticated. Takes the same time whichever
  /// key is right and however much of a wrong one is. The error does not
  /// repeat what was sent.
  Result<std::string> authenticate(std::string const &Authorization) const;

private:
  struct Known {
    std::string Name_;
    std::string Digest_;
  };

  std::vector<Known> Operators_;
};

} // namespace laburnum
