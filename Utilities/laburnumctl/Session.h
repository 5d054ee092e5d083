#pragma once

#include "DecimalInteger.h"

#include <LibAdmin/OperatorClient.h>
#include <LibCore/Result.h>

#include <cxxopts.hpp>

#include <string>
#include <type_traits>
#include <vector>

namespace laburnum {

enum class OutputFormat { Table, Json };

/// The context of a command: its options and the connection to the server.
struct Session {
  cxxopts::ParseResult Arguments_;
  OutputFormat Output_ = OutputFormat::Table;
  OperatorClient Client_;

  bool has(std::string const &Option) const {
    return Arguments_.count(Option) > 0;
  }
  std::string text(std::string const &Option) const {
    return Arguments_[Option].as<std::string>();
  }
  /// The non-empty values of a comma-separated or repeated option.
  std::vector<std::string> texts(std::string const &Option) const;

  /// Sets Target to the option's value if the option is given.
  template <typename Value>
  void read(std::string const &Option, Value &Target) const {
    if (!has(Option))
      return;
    if constexpr (std::is_integral_v<Value> && !std::is_same_v<Value, bool>)
      Target = Arguments_[Option].as<DecimalInteger<Value>>().Value_;
    else
      Target = Arguments_[Option].as<Value>();
  }
};

/// Adds the options common to all commands.
void addGlobalOptions(cxxopts::Options &Options);

/// Opens a session from the global options and the environment. Fails with
/// Unauthenticated without a key, with InvalidArgument on a bad option.
Result<Session> openSession(cxxopts::ParseResult const &Arguments);

/// Reads a key from the first line of a file.
Result<std::string> readKeyFile(std::string const &Path);

} // namespace laburnum
