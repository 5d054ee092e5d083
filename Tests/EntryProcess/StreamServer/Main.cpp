#include "../ScriptedServer.h"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <cxxopts.hpp>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <set>
#include <sstream>
#include <sys/prctl.h>
#include <unistd.h>

using namespace laburnum;
using namespace laburnum::entry_process;

namespace {

struct Settings {
  std::string Id_;
  std::string Version_;
  std::string Framing_;            ///< closes, chunked or length.
  std::string Term_;               ///< finishes, closes or breaks.
  std::uint64_t Lives_;            ///< Answers until it kills itself; 0: never.
  std::chrono::milliseconds Idle_; ///< Closes idle connections; 0: never.
  std::string Step_;     ///< Between identifiers of events, or "irregular".
  std::uint64_t Cuts_;   ///< Ends every such answer too early; 0: none.
  std::string Deadline_; ///< ignores, closes, finishes or resets.
  std::chrono::milliseconds Early_; ///< By which it stops before the deadline.
  std::uint64_t Skips_;      ///< Every such new stream lacks an event; 0: none.
  std::uint64_t Unframed_;   ///< Every such answer has no length; 0: none.
  std::string UnframedEnd_;  ///< whole, closes or resets.
  std::uint64_t Events_;     ///< Of a stream on /stream/.
  std::uint64_t OnceEvents_; ///< Of a stream on /once/.
  std::chrono::microseconds Gap_;
  std::int64_t Slowness_;         ///< Tenths of the gap after SIGUSR1.
  std::uint64_t Faults_;          ///< One in so many answers; 0: none.
  std::vector<std::string> Hows_; ///< Names of the faults.
  std::uint64_t Lost_;            ///< Percentage of answers never sent.
  std::uint64_t Seed_;
};

/// What is wrong with an answer.
struct Fault {
  std::string How_;
  std::size_t Piece_ = 0; ///< The one at which it shows.
};

/// Returns the identifiers of a stream's events. Step is a number, or
/// "irregular", which is for streams of six events.
std::vector<std::uint64_t> identifiers(std::string const &Step,
                                       std::uint64_t Length) {
  if (Step == "irregular")
    return {1, 2, 5, 6, 9, 12};
  std::vector<std::uint64_t> Identifiers;
  for (std::uint64_t Number = 1; Number <= Length; ++Number)
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
  Fault Fault_;
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
    awaitSlowness();
    std::cout << "listening port=" << Server_.endpoint().Port_ << std::endl;
  }

private:
  /// SIGUSR1 makes it slow, or as fast as before.
  void awaitSlowness() {
    SlownessSignals_.async_wait([this](asio::error_code, int) {
      IsSlow_ = !IsSlow_;
      awaitSlowness();
    });
  }

  bool draws(std::uint64_t Of) { return Of > 0 && Numbers_() % Of == 0; }

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
    if (Numbers_() % 100 < Settings_.Lost_)
      return lose(Peer);
    auto const Begun = std::make_shared<Answer>(Answer{
        Peer.shared_from_this(),
        IsStream ? events(Peer.field("Last-Event-Id"), Run, lengthOf(Path))
                 : parts(Path, Run),
        Settings_.Framing_,
        Runs_ % 2 == 0,
        {},
        asio::steady_timer(Context_),
        asio::steady_timer(Context_)});
    bool const IsNew = IsStream && Peer.field("Last-Event-Id").empty();
    if (IsNew && isEach(Settings_.Skips_, ++NewStreams_)) {
      Begun->Pieces_.erase(Begun->Pieces_.begin() + 2);
      std::cout << "left out an event" << std::endl;
    }
    bool const IsUnframed = isEach(Settings_.Unframed_, Runs_);
    if (IsUnframed) {
      Begun->Framing_ = "closes";
      std::cout << "no length" << std::endl;
    }
    bool const IsWhole = IsUnframed ? Settings_.UnframedEnd_ == "whole"
                                    : !isEach(Settings_.Cuts_, Runs_);
    if (!Begun->Pieces_.empty() && !IsWhole) {
      Begun->Pieces_.resize(Begun->Pieces_.size() / 2);
      if (IsUnframed && Settings_.UnframedEnd_ == "resets")
        Begun->Fault_ = {"after-reset", Begun->Pieces_.size()};
      std::cout << "early end" << std::endl;
    }
    // An answer that is broken off states the length of the whole one.
    auto Framing = framingFields(*Begun);
    if (draws(Settings_.Faults_))
      spoil(*Begun, Run, IsStream);
    if (Begun->Fault_.How_ == "omit")
      Framing = framingFields(*Begun);
    Peer.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + AttemptId +
               "\r\nX-Server-Stamp: stamp\r\nContent-Type: text/" +
               (IsStream ? "event-stream\r\n" : "plain\r\n") + Framing +
               "\r\n");
    Begun_.insert(Begun);
    if (Settings_.Deadline_ != "ignores")
      limit(Begun, Peer.field("X-Deadline-Ms"));
    writeNext(Begun);
  }

  /// Returns the length that a path such as "/stream/s1.48" states, or the
  /// usual one.
  std::uint64_t lengthOf(std::string const &Path) const {
    auto const Dot = Path.rfind('.');
    if (Dot != std::string::npos)
      return std::stoull(Path.substr(Dot + 1));
    return Path.starts_with("/once/") ? Settings_.OnceEvents_
                                      : Settings_.Events_;
  }

  /// Loses the answer with its connection, or alone.
  void lose(ScriptedServer::Peer &Peer) {
    if (draws(2))
      Peer.close();
  }

  /// Draws a fault; says which one, and the event that it concerns.
  void spoil(Answer &Spoiled, std::string const &Run, bool IsStream) {
    auto How = Settings_.Hows_[Numbers_() % Settings_.Hows_.size()];
    auto &Pieces = Spoiled.Pieces_;
    if (Pieces.size() < 2)
      return;
    bool const IsBreak = How.ends_with("-reset") || How.ends_with("-close");
    if (!IsBreak && !IsStream)
      return;
    if (How == "size" && Spoiled.Framing_ != "chunked")
      How = "id";
    // A break leaves the first piece; the last has no blank line after it that
    // separates it from another.
    auto const At = How.ends_with("-close") || How.ends_with("-reset")
                        ? 1 + Numbers_() % (Pieces.size() - 1)
                        : Numbers_() % (Pieces.size() - 1);
    auto const Concerned = How == "blank" ? At + 1 : At;
    std::cout << "spoiled run=" << Run
              << " event=" << (IsStream ? numberIn(Pieces[Concerned]) : "0")
              << " how=" << How << " framing=" << Spoiled.Framing_ << std::endl;
    Spoiled.Fault_ = {How, At};
    auto &Piece = Pieces[At];
    if (How == "id")
      Piece[Numbers_() % Piece.find('\n')] = 'x';
    if (How == "blank")
      Piece.back() = 'x';
    if (How == "omit")
      Pieces.erase(Pieces.begin() + static_cast<std::ptrdiff_t>(At));
    if (How.starts_with("inside-"))
      Piece.resize(Piece.size() / 2);
  }

  static std::string numberIn(std::string const &Piece) {
    auto const Begin = Piece.find(' ') + 1;
    return Piece.substr(Begin, Piece.find('\n') - Begin);
  }

  /// Whether the answer was broken off by a fault.
  bool breaksBy(Answer const &Begun) {
    auto const &[How, At] = Begun.Fault_;
    bool const IsClose = How.ends_with("-close");
    if (!IsClose && !How.ends_with("-reset"))
      return false;
    if (Begun.Next_ < At || (How.starts_with("inside-") && Begun.Next_ == At))
      return false;
    if (IsClose)
      Begun.Peer_->close();
    else
      Begun.Peer_->reset();
    return true;
  }

  /// Returns the bytes of a piece, in its chunk if there are chunks.
  std::string framed(Answer const &Begun, std::string const &Piece) {
    if (Begun.Framing_ != "chunked")
      return Piece;
    auto Bytes = chunk(Piece);
    if (Begun.Fault_.How_ == "size" && Begun.Next_ == Begun.Fault_.Piece_ + 1)
      Bytes[Numbers_() % (Bytes.find('\n') + 1)] = "z07"[Numbers_() % 3];
    return Bytes;
  }

  std::chrono::microseconds gap() const {
    return IsSlow_ ? Settings_.Gap_ * Settings_.Slowness_ / std::int64_t{10}
                   : Settings_.Gap_;
  }

  /// Stops work on the answer when the client's time is over.
  void limit(std::shared_ptr<Answer> const &Begun, std::string const &Time) {
    Begun->Deadline_.expires_after(
        std::chrono::milliseconds(std::atoll(Time.c_str())) - Settings_.Early_);
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
                                  std::string const &Run,
                                  std::uint64_t Length) const {
    auto const Last = std::strtoull(LastEventId.c_str(), nullptr, 10);
    std::vector<std::string> Events;
    for (auto const Identifier : identifiers(Settings_.Step_, Length))
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
    Begun->Peer_->write(framed(*Begun, Piece));
    if (breaksBy(*Begun)) {
      Begun->Deadline_.cancel();
      Begun_.erase(Begun);
      return endIfLeft();
    }
    if (Begun->Next_ == Begun->Pieces_.size() && !Begun->EndsLater_)
      return end(Begun);
    Begun->Timer_.expires_after(gap());
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
  asio::signal_set SlownessSignals_{Context_, SIGUSR1};
  bool IsSlow_ = false;
  std::mt19937_64 Numbers_{Settings_.Seed_};
  bool IsLeaving_ = false;
  std::set<std::shared_ptr<Answer>> Begun_;
  asio::steady_timer EndTimer_{Context_};
  std::uint64_t Runs_ = 0;
  std::uint64_t NewStreams_ = 0;
  std::uint64_t Answered_ = 0;
};

std::vector<std::string> split(std::string const &Text) {
  std::vector<std::string> Words;
  std::istringstream Input(Text);
  for (std::string Word; std::getline(Input, Word, ',');)
    Words.push_back(Word);
  return Words;
}

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

void addOptions(cxxopts::Options &Options) {
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
  Add("unframed", "every such answer has no length; 0: none", Text("0"));
  Add("unframed-end",
      "how it ends such an answer: whole, too early in order (closes), or too "
      "early by a reset (resets)",
      Text("closes"));
  Add("deadline",
      "what it does with an answer when the client's time is over: "
      "ignores, closes, finishes or resets",
      Text("ignores"));
  Add("events", "events of a stream on /stream/", Text("6"));
  Add("once-events", "events of a stream on /once/", Text("6"));
  Add("gap", "microseconds between pieces", Text("50000"));
  Add("slowness", "SIGUSR1 makes gaps so many tenths as long", Text("75"));
  Add("faults", "spoils one in so many answers; 0: none", Text("0"));
  Add("hows",
      "faults to draw from: (inside|after)-(reset|close), id, blank, size, "
      "omit",
      Text("inside-reset,inside-close,after-reset,after-close,id,blank,size,"
           "omit"));
  Add("lost", "percentage of answers that are never sent", Text("0"));
  Add("seed", "of faults and losses", Text("1"));
  Add("early", "milliseconds by which it stops before the deadline", Text("0"));
  Add("workers", "processes that accept on one port, 1 or 2", Text("1"));
}

} // namespace

int main(int Count, char **Arguments) {
  cxxopts::Options Options("stream-server",
                           "Stands in for a server's process in tests");
  addOptions(Options);
  try {
    auto const Given = Options.parse(Count, Arguments);
    auto const Value = [&](char const *Name) {
      return Given[Name].as<std::string>();
    };
    asio::io_context Context(1);
    StreamServer const Server(
        Context,
        {Value("id"),
         Value("version"),
         Value("framing"),
         Value("term"),
         std::stoull(Value("lives")),
         std::chrono::milliseconds(std::stoll(Value("idle"))),
         Value("step"),
         std::stoull(Value("cuts")),
         Value("deadline"),
         std::chrono::milliseconds(std::stoll(Value("early"))),
         std::stoull(Value("skips")),
         std::stoull(Value("unframed")),
         Value("unframed-end"),
         std::stoull(Value("events")),
         std::stoull(Value("once-events")),
         std::chrono::microseconds(std::stoll(Value("gap"))),
         std::stoll(Value("slowness")),
         std::stoull(Value("faults")),
         split(Value("hows")),
         std::stoull(Value("lost")),
         std::stoull(Value("seed"))},
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
