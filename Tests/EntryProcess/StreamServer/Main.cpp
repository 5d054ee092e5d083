#include "../ScriptedServer.h"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <cxxopts.hpp>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <set>
#include <sstream>
#include <sys/prctl.h>
#include <unistd.h>

using namespace laburnum;
using namespace laburnum::entry_process;

namespace {

constexpr std::uint64_t StreamLength = 6;
constexpr std::chrono::milliseconds Gap{50};

struct Settings {
  std::string Id_;
  std::string Version_;
  std::string Framing_;            ///< closes, chunked or length.
  std::string Term_;               ///< finishes, closes or breaks.
  std::uint64_t Lives_;            ///< Answers until it kills itself; 0: never.
  std::chrono::milliseconds Idle_; ///< Closes idle connections; 0: never.
  std::vector<std::uint64_t> Identifiers_; ///< Of a stream's events.
  std::uint64_t Cuts_;   ///< Ends every such answer too early; 0: none.
  std::string Deadline_; ///< ignores, closes, finishes or resets.
  std::uint64_t Skips_;  ///< Every such new stream lacks an event; 0: none.
  /// Every such answer has no length and is ended too early; 0: none.
  std::uint64_t Unframed_;
};

/// Returns the identifiers of a stream's events. Step is a number, or
/// "irregular".
std::vector<std::uint64_t> identifiers(std::string const &Step) {
  if (Step == "irregular")
    return {1, 2, 5, 6, 9, 12};
  std::vector<std::uint64_t> Identifiers;
  for (std::uint64_t Number = 1; Number <= StreamLength; ++Number)
    Identifiers.push_back(Number * std::stoull(Step));
  return Identifiers;
}

bool isEach(std::uint64_t Count, std::uint64_t Number) {
  return Count > 0 && Number % Count == 0;
}

/// An answer that is written piece by piece.
struct Answer {
  std::shared_ptr<ScriptedServer::Peer> Peer_;
  std::vector<std::string> Pieces_;
  std::string Framing_;
  bool EndsLater_; ///< A gap after its last piece.
  asio::steady_timer Timer_;
  asio::steady_timer Deadline_;
  std::size_t Next_ = 0;
};

std::string chunk(std::string const &Bytes) {
  std::ostringstream Text;
  Text << std::hex << Bytes.size() << "\r\n" << Bytes << "\r\n";
  return Text.str();
}

/// Serves streams on /stream/ and /once/, answers of two pieces on /read/ and
/// /order/, and says on stdout which request it runs.
class StreamServer {
public:
  StreamServer(asio::io_context &Context, Settings Settings, std::uint16_t Port,
               std::string const &Born)
      : Context_(Context), Settings_(std::move(Settings)),
        Server_(
            Context,
            [this](auto &Peer, auto const &AttemptId, std::size_t) {
              onRequest(Peer, AttemptId);
            },
            Port) {
    if (!Born.empty())
      Server_.setReport("{\"born\":" + Born + '}');
    Server_.setIdleTime(Settings_.Idle_);
    Signals_.async_wait([this](asio::error_code, int) { leave(); });
    std::cout << "listening port=" << Server_.endpoint().Port_ << std::endl;
  }

private:
  void leave() {
    if (Settings_.Term_ == "breaks")
      return breakOff();
    Server_.stopListening();
    IsLeaving_ = true;
    std::cout << "leaving" << std::endl;
    endIfLeft();
  }

  /// Ends its answers in order and goes on for a while.
  void breakOff() {
    std::cout << "leaving" << std::endl;
    for (auto const &Broken : std::exchange(Begun_, {}))
      Broken->Peer_->close();
    EndTimer_.expires_after(std::chrono::milliseconds(300));
    EndTimer_.async_wait([this](asio::error_code) { Context_.stop(); });
  }

  void endIfLeft() {
    if (IsLeaving_ && (Begun_.empty() || Settings_.Term_ == "closes"))
      Context_.stop();
  }

  void onRequest(ScriptedServer::Peer &Peer, std::string const &AttemptId) {
    auto const Identity = "X-Instance-Id: " + Settings_.Id_ + "\r\n";
    auto const Expected = Peer.field("X-Expect-Instance");
    if (!Expected.empty() && Expected != Settings_.Id_)
      return Peer.write("HTTP/1.1 421 -\r\n" + Identity +
                        "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    auto const Path = Peer.path();
    bool const IsStream =
        Path.starts_with("/stream/") || Path.starts_with("/once/");
    if (!IsStream && !Path.starts_with("/read/") &&
        !Path.starts_with("/order/"))
      return Peer.write("HTTP/1.1 200 OK\r\n" + Identity +
                        "Content-Length: 0\r\n\r\n");
    auto const Run = Settings_.Id_ + '.' + std::to_string(getpid()) + '.' +
                     std::to_string(++Runs_);
    std::cout << "ran " << Path << " run=" << Run << std::endl;
    auto const Begun = std::make_shared<Answer>(Answer{
        Peer.shared_from_this(),
        IsStream ? events(Peer.field("Last-Event-Id"), Run) : parts(Path, Run),
        Settings_.Framing_, Runs_ % 2 == 0, asio::steady_timer(Context_),
        asio::steady_timer(Context_)});
    bool const IsNew = IsStream && Peer.field("Last-Event-Id").empty();
    if (IsNew && isEach(Settings_.Skips_, ++NewStreams_)) {
      Begun->Pieces_.erase(Begun->Pieces_.begin() + 2);
      std::cout << "left out an event" << std::endl;
    }
    bool const IsUnframed = isEach(Settings_.Unframed_, Runs_);
    if (IsUnframed)
      Begun->Framing_ = "closes";
    if (!Begun->Pieces_.empty() &&
        (IsUnframed || isEach(Settings_.Cuts_, Runs_))) {
      Begun->Pieces_.resize(Begun->Pieces_.size() / 2);
      std::cout << "early end" << std::endl;
    }
    Peer.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + AttemptId +
               "\r\nX-Server-Stamp: stamp\r\nContent-Type: text/" +
               (IsStream ? "event-stream\r\n" : "plain\r\n") +
               framingFields(*Begun) + "\r\n");
    Begun_.insert(Begun);
    if (Settings_.Deadline_ != "ignores")
      limit(Begun, Peer.field("X-Deadline-Ms"));
    writeNext(Begun);
  }

  /// Stops work on the answer when the client's time is over.
  void limit(std::shared_ptr<Answer> const &Begun, std::string const &Time) {
    Begun->Deadline_.expires_after(
        std::chrono::milliseconds(std::atoll(Time.c_str())));
    Begun->Deadline_.async_wait([this, Begun](asio::error_code Failure) {
      if (Failure || Begun_.erase(Begun) == 0)
        return;
      std::cout << "late answer" << std::endl;
      if (Settings_.Deadline_ == "resets")
        return Begun->Peer_->reset();
      if (Settings_.Deadline_ == "finishes" && Begun->Framing_ == "chunked")
        Begun->Peer_->write("0\r\n\r\n");
      Begun->Peer_->close();
    });
  }

  std::vector<std::string> events(std::string const &LastEventId,
                                  std::string const &Run) const {
    auto const Last = std::strtoull(LastEventId.c_str(), nullptr, 10);
    std::vector<std::string> Events;
    for (auto const Identifier : Settings_.Identifiers_)
      if (Identifier > Last)
        Events.push_back("id: " + std::to_string(Identifier) +
                         "\ndata: " + Settings_.Version_ + ' ' +
                         std::to_string(Last) + ' ' + Run + "\n\n");
    return Events;
  }

  static std::vector<std::string> parts(std::string const &Path,
                                        std::string const &Run) {
    auto const Part = ' ' + Path + ' ' + Run + '\n';
    return {"begin" + Part, "end" + Part};
  }

  static std::string framingFields(Answer const &Begun) {
    if (Begun.Framing_ == "closes")
      return {};
    if (Begun.Framing_ == "chunked")
      return "Keep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n";
    std::size_t Size = 0;
    for (auto const &Piece : Begun.Pieces_)
      Size += Piece.size();
    return "Keep-Alive: timeout=5\r\nContent-Length: " + std::to_string(Size) +
           "\r\n";
  }

  void writeNext(std::shared_ptr<Answer> const &Begun) {
    if (!Begun_.contains(Begun))
      return;
    if (Begun->Next_ == Begun->Pieces_.size())
      return end(Begun);
    auto const &Piece = Begun->Pieces_[Begun->Next_++];
    Begun->Peer_->write(Begun->Framing_ == "chunked" ? chunk(Piece) : Piece);
    if (Begun->Next_ == Begun->Pieces_.size() && !Begun->EndsLater_)
      return end(Begun);
    Begun->Timer_.expires_after(Gap);
    Begun->Timer_.async_wait(
        [this, Begun](asio::error_code) { writeNext(Begun); });
  }

  void end(std::shared_ptr<Answer> const &Ended) {
    if (Ended->Framing_ == "closes")
      Ended->Peer_->close();
    if (Ended->Framing_ == "chunked")
      Ended->Peer_->write("0\r\n\r\n");
    Ended->Deadline_.cancel();
    if (++Answered_ == Settings_.Lives_)
      std::raise(SIGKILL);
    Begun_.erase(Ended);
    endIfLeft();
  }

  asio::io_context &Context_;
  Settings const Settings_;
  ScriptedServer Server_;
  asio::signal_set Signals_{Context_, SIGTERM};
  bool IsLeaving_ = false;
  std::set<std::shared_ptr<Answer>> Begun_;
  asio::steady_timer EndTimer_{Context_};
  std::uint64_t Runs_ = 0;
  std::uint64_t NewStreams_ = 0;
  std::uint64_t Answered_ = 0;
};

/// Starts another process that accepts connections on the same port. It ends
/// with the first.
void addWorker(asio::io_context &Context) {
  Context.notify_fork(asio::execution_context::fork_prepare);
  bool const IsChild = fork() == 0;
  Context.notify_fork(IsChild ? asio::execution_context::fork_child
                              : asio::execution_context::fork_parent);
  if (!IsChild)
    return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  std::cout << "worker id=" << getpid() << std::endl;
}

} // namespace

int main(int Count, char **Arguments) {
  cxxopts::Options Options("stream-server",
                           "Stands in for a server's process in tests");
  auto Add = Options.add_options();
  auto const Text = [](char const *Default) {
    return cxxopts::value<std::string>()->default_value(Default);
  };
  Add("port", "port on loopback; 0: any", Text("0"));
  Add("id", "identifier in the list", Text("a"));
  Add("version", "software version", Text("v1"));
  Add("born", "its start; without it, it does not state one", Text(""));
  Add("framing", "closes, chunked or length", Text("closes"));
  Add("term", "what it does on SIGTERM: finishes, closes or breaks",
      Text("finishes"));
  Add("lives", "answers after which it kills itself; 0: never", Text("0"));
  Add("idle", "closes connections idle for so many ms; 0: never", Text("0"));
  Add("step", "between the identifiers of events; irregular: 1, 2, 5, 6, 9, 12",
      Text("1"));
  Add("cuts", "ends every such answer too early, and goes on; 0: none",
      Text("0"));
  Add("skips", "leaves out event 3 of every such new stream; 0: none",
      Text("0"));
  Add("unframed",
      "every such answer has no length and is ended too early; 0: none",
      Text("0"));
  Add("deadline",
      "what it does with an answer when the client's time is over: "
      "ignores, closes, finishes or resets",
      Text("ignores"));
  Add("workers", "processes that accept on one port, 1 or 2", Text("1"));
  try {
    auto const Given = Options.parse(Count, Arguments);
    auto const Value = [&](char const *Name) {
      return Given[Name].as<std::string>();
    };
    asio::io_context Context(1);
    StreamServer const Server(
        Context,
        {Value("id"), Value("version"), Value("framing"), Value("term"),
         std::stoull(Value("lives")),
         std::chrono::milliseconds(std::stoll(Value("idle"))),
         identifiers(Value("step")), std::stoull(Value("cuts")),
         Value("deadline"), std::stoull(Value("skips")),
         std::stoull(Value("unframed"))},
        static_cast<std::uint16_t>(std::stoul(Value("port"))), Value("born"));
    if (Value("workers") == "2")
      addWorker(Context);
    Context.run();
    return 0;
  } catch (std::exception const &Failure) {
    std::cerr << Failure.what() << '\n';
    return 2;
  }
}
