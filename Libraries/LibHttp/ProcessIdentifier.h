#pragma once

#include <LibHttp/MessageHead.h>

#include <optional>
#include <string>

namespace laburnum {

/// Tells which process of a server is at the other end of a connection: a
/// server that was restarted has the same address. The process is asked before
/// the first request that only it may get.
class ProcessIdentifier {
public:
  virtual ~ProcessIdentifier() = default;
  virtual RequestHead request() const = 0;
  /// Returns nothing if the answer identifies no process.
  virtual std::optional<std::string>
  identify(AnswerHead const &Head, std::string const &Body) const = 0;
};

} // namespace laburnum
