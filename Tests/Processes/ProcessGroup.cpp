#include "ProcessGroup.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace laburnum::processes {

namespace {

/// Redirects stdout and stderr to the pipe and stdin to /dev/null. The test's
/// sockets are not inherited, as ports that the test closes would stay open.
class SpawnActions {
public:
  explicit SpawnActions(int Output) {
    posix_spawn_file_actions_init(&Actions_);
    posix_spawn_file_actions_addopen(&Actions_, STDIN_FILENO, "/dev/null",
                                     O_RDONLY, 0);
    posix_spawn_file_actions_adddup2(&Actions_, Output, STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&Actions_, Output, STDERR_FILENO);
    posix_spawn_file_actions_addclosefrom_np(&Actions_, STDERR_FILENO + 1);
  }
  ~SpawnActions() { posix_spawn_file_actions_destroy(&Actions_); }
  SpawnActions(SpawnActions const &) = delete;
  SpawnActions &operator=(SpawnActions const &) = delete;

  posix_spawn_file_actions_t const *operator&() const { return &Actions_; }

private:
  posix_spawn_file_actions_t Actions_{};
};

/// Counts the output lines and exits of all processes.
class OutputEvents {
public:
  void add() {
    std::lock_guard const Lock(Mutex_);
    ++Count_;
    Changed_.notify_all();
  }
  std::uint64_t count() {
    std::lock_guard const Lock(Mutex_);
    return Count_;
  }
  /// Waits until the count exceeds Seen; false if it does not by End.
  bool waitForMore(std::uint64_t Seen, TimePoint End) {
    std::unique_lock Lock(Mutex_);
    return Changed_.wait_until(Lock, End, [&] { return Count_ > Seen; });
  }

private:
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::uint64_t Count_ = 0;
};

OutputEvents &outputEvents() {
  static OutputEvents Events;
  return Events;
}

} // namespace

bool await(std::function<bool()> const &Condition) {
  auto const End = readClock() + TestTimeout;
  for (auto &Events = outputEvents();;) {
    // Counted before the check so that a line written meanwhile is not missed.
    auto const Seen = Events.count();
    if (Condition())
      return true;
    if (!Events.waitForMore(Seen, End))
      return Condition();
  }
}

Process::Process(std::string const &Program,
                 std::vector<std::string> Arguments) {
  std::array<int, 2> Pipe{};
  if (pipe2(Pipe.data(), O_CLOEXEC) != 0)
    throw std::runtime_error("no pipe");
  auto Path = Program.starts_with('/')
                  ? Program
                  : std::string(PROGRAM_FOLDER) + "/" + Program;
  std::vector<char *> Words = {Path.data()};
  for (auto &Element : Arguments)
    Words.push_back(Element.data());
  Words.push_back(nullptr);
  SpawnActions const Actions(Pipe[1]);
  auto const Failure = posix_spawn(&Pid_, Path.c_str(), &Actions, nullptr,
                                   Words.data(), environ);
  close(Pipe[1]);
  Output_ = Pipe[0];
  if (Failure != 0) {
    close(Output_);
    throw std::runtime_error("cannot start " + Path);
  }
  Reader_ = std::thread([this] { readOutput(); });
}

Process::~Process() {
  if (!IsReaped_) {
    signal(SIGKILL);
    awaitEnd();
  }
  Reader_.join();
  close(Output_);
}

void Process::readOutput() {
  constexpr std::size_t BufferBytes = 4096;
  std::array<char, BufferBytes> Buffer{};
  std::string Rest;
  while (true) {
    auto const Count = read(Output_, Buffer.data(), Buffer.size());
    if (Count <= 0)
      break;
    Rest.append(Buffer.data(), static_cast<std::size_t>(Count));
    std::lock_guard const Lock(Mutex_);
    for (auto End = Rest.find('\n'); End != std::string::npos;
         End = Rest.find('\n')) {
      Lines_.push_back(Rest.substr(0, End));
      Rest.erase(0, End + 1);
    }
    Changed_.notify_all();
    outputEvents().add();
  }
  std::lock_guard const Lock(Mutex_);
  HasEnded_ = true;
  Changed_.notify_all();
  outputEvents().add();
}

std::string Process::awaitLine(std::string const &Text) {
  std::unique_lock Lock(Mutex_);
  std::string Found;
  auto const IsThere = [&] {
    auto const At =
        std::find_if(Lines_.begin(), Lines_.end(), [&](auto const &Line) {
          return Line.find(Text) != std::string::npos;
        });
    if (At != Lines_.end())
      Found = *At;
    return At != Lines_.end() || HasEnded_;
  };
  Changed_.wait_for(Lock, TestTimeout, IsThere);
  if (Found.empty())
    throw std::runtime_error("no line with \"" + Text + "\"");
  return Found;
}

bool Process::hasWritten(std::string const &Text) {
  std::lock_guard const Lock(Mutex_);
  return std::any_of(Lines_.begin(), Lines_.end(), [&](auto const &Line) {
    return Line.find(Text) != std::string::npos;
  });
}

std::vector<std::string> Process::lines() {
  std::lock_guard const Lock(Mutex_);
  return Lines_;
}

void Process::signal(int Number) const {
  if (!IsReaped_)
    kill(Pid_, Number);
}

int Process::awaitEnd() {
  if (IsReaped_)
    return Status_;
  int Raw = 0;
  waitpid(Pid_, &Raw, 0);
  IsReaped_ = true;
  Status_ = WIFEXITED(Raw) ? WEXITSTATUS(Raw) : -WTERMSIG(Raw);
  return Status_;
}

bool Process::hasEnded() {
  siginfo_t Info{};
  return IsReaped_ || (waitid(P_PID, static_cast<id_t>(Pid_), &Info,
                              WEXITED | WNOHANG | WNOWAIT) == 0 &&
                       Info.si_pid == Pid_);
}

std::uint16_t portIn(std::string const &Line, std::string const &Label) {
  auto const At = Line.find(Label);
  if (At == std::string::npos)
    throw std::runtime_error("no \"" + Label + "\" in: " + Line);
  return static_cast<std::uint16_t>(std::stoul(Line.substr(At + Label.size())));
}

} // namespace laburnum::processes
