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

/// Long enough for anything that happens at all on a busy machine.
constexpr Duration Ample = std::chrono::seconds(60);

/// A child process whose output lines can be waited for. It is killed, and
/// its end awaited, when the object goes.
class Process {
public:
  /// Throws std::runtime_error when the program cannot be started.
  Process(std::string const &Program, std::vector<std::string> Arguments);
  ~Process();
  Process(Process const &) = delete;
  Process &operator=(Process const &) = delete;

  /// The first line of output that contains Text; throws std::runtime_error
  /// when the output ends, or Ample passes, without one.
  std::string awaitLine(std::string const &Text);
  /// Whether it has written Text in a line so far.
  bool hasWritten(std::string const &Text);
  void signal(int Number) const;
  pid_t id() const { return Pid_; }
  /// Waits for the end; the exit status, or minus the signal's number.
  int awaitEnd();

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

/// The number behind Label in a line such as "callers_port=4711 ...".
std::uint16_t portIn(std::string const &Line, std::string const &Label);

/// Waits until Condition holds; false after Ample. It is looked at once and
/// again after each line that any process writes: what a condition is about
/// has to be told by a line that is written once it holds.
bool await(std::function<bool()> const &Condition);

} // namespace laburnum::processes
