#pragma once

#include <LibCore/Time.h>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace laburnum::processes {

/// Timeout of all waits; generous so that a busy machine does not exceed it.
constexpr Duration TestTimeout = std::chrono::seconds(60);

/// A child process whose output lines can be waited for. The destructor kills
/// it and waits for its exit.
class Process {
public:
  /// Program is a path, or the name of a program of this build. Throws
  /// std::runtime_error if it cannot be started.
  Process(std::string const &Program, std::vector<std::string> Arguments);
  ~Process();
  Process(Process const &) = delete;
  Process &operator=(Process const &) = delete;

  /// Returns the first line of output that contains Text; throws
  /// std::runtime_error if the output ends or TestTimeout elapses without one.
  std::string awaitLine(std::string const &Text);
  /// Whether the output contains a line with Text so far.
  bool hasWritten(std::string const &Text);
  /// All lines of output so far.
  std::vector<std::string> lines();
  void signal(int Number) const;
  pid_t id() const { return Pid_; }
  /// Waits for the process and returns its exit status, or the negated number
  /// of the signal that ended it.
  int awaitEnd();
  /// Whether the process has ended; awaitEnd() then returns at once.
  bool hasEnded();

private:
  void readOutput();

  pid_t Pid_ = -1;
  int Output_ = -1;
  bool IsReaped_ = false;
  int Status_ = 0;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::vector<std::string> Lines_;
  bool HasEnded_ = false;
  std::thread Reader_;
};

/// Parses the number after Label in a line such as "callers_port=4711 ...".
std::uint16_t portIn(std::string const &Line, std::string const &Label);

/// Waits until Condition holds; false after TestTimeout. Condition is evaluated
/// once at the start and again after each line that any process writes, so a
/// process has to write a line once the condition holds.
bool await(std::function<bool()> const &Condition);

} // namespace laburnum::processes
