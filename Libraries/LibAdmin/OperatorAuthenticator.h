#pragma once

#include <LibCore/Result.h>
#include <LibSettings/DaemonSettings.h>

#include <string>
#include <vector>

namespace laburnum {

/// Identifies operators by the "authorization" metadata of their calls.
class OperatorAuthenticator {
public:
  explicit OperatorAuthenticator(std::vector<OperatorKey> const &Keys);

  /// Returns the operator's name, or Unauthenticated. Runs in constant time:
  /// the duration reveals neither which key matched nor how much of a wrong key
  /// was right. The error does not quote the input.
  Result<std::string> authenticate(std::string const &Authorization) const;

private:
  struct KnownOperator {
    std::string Name_;
    std::string Digest_;
  };

  std::vector<KnownOperator> Operators_;
};

} // namespace laburnum
