#pragma once

#include "WholeNumber.h"

#include <LibAdmin/OperatorClient.h>
#include <LibCore/Result.h>

#include <cxxopts.hpp>

#include <string>
#include <type_traits>
#include <vector>

namespace laburnum {

enum class OutputFormat { Table, Json };

/// What a command works with: its options and the connection to the server.
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
  /// The parts of a comma-separated or repeated option, without empty ones.
  std::vector<std::string> texts(std::string const &Option) const;

  /// Overwrites Target when the option is given.
  template <typename Value>
  void read(std::string const &Option, Value &Target) const {
    if (!has(Option))
      return;
    if constexpr (std::is_integral_v<Value> && !std::is_same_v<Value, bool>)
      Target = Arguments_[Option].as<WholeNumber<Value>>().Value_;
    else
      Target = Arguments_[Option].as<Value>();
  }
};

/// The options that every command has.
void addGlobalOptions(cxxopts::Options &Options);

/// Reads the global options and the environment.
Result<Session> openSession(cxxopts::ParseResult const &Arguments);

/// The first line of a file that holds a key.
Result<std::string> readKeyFile(std::string const &Path);

} // namespace laburnum
