#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

/// Stand-ins of the platform's store, of runners and of clients, and the
/// processes of the system, for the cases of the review. Everything listens on
/// loopback addresses and uses the real clock.
namespace review {

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;
using Fields = std::map<std::string, std::string>; ///< Names in lower case.

/// Milliseconds since the start of the program.
double nowMs();
void sleepMs(double Milliseconds);
/// Ends this process with 2 after 116 s. The processes that it has started end
/// with it.
void limitRun();
/// Whether the case runs with its disruption: TROUBLE is not 0.
bool hasTrouble();
/// A loopback address that is unlikely to be used by another process.
std::string loopbackAddress(unsigned Number);

/// Writes what was sent, answered and run to a file. Thread-safe.
class Record {
public:
  explicit Record(std::string const &Path) : File_(Path) {}
  void add(std::string const &Line);

private:
  std::mutex Mutex_;
  std::ofstream File_;
};

/// A TCP connection with blocking calls. Every call returns false once the
/// connection has ended.
class Connection {
public:
  Connection() = default;
  explicit Connection(int Descriptor) : Descriptor_(Descriptor) {}
  ~Connection() { close(); }
  Connection(Connection const &) = delete;
  Connection &operator=(Connection const &) = delete;

  bool open(std::string const &Host, std::uint16_t Port);
  bool send(std::string const &Bytes);
  bool readLine(std::string &Into);
  bool readBytes(std::size_t Count, std::string &Into);
  /// Makes reads fail after this time without a byte.
  void setReadTimeout(double Milliseconds);
  /// Ends the connection for both sides; the descriptor stays open.
  void shutdown();
  /// Ends the connection with a reset.
  void reset();
  void close();
  bool isOpen() const { return Descriptor_ >= 0; }

private:
  bool fill();

  int Descriptor_ = -1;
  std::string Buffer_;
};

struct Message {
  std::string Start_; ///< The request line or the status line.
  Fields Fields_;
  std::string Body_;
};

/// Reads a head and, if it has a length or is chunked, its body.
bool readHead(Connection &From, Message &Into);
bool readBody(Connection &From, Message &Into);
std::string answerText(int Status, std::string const &Body,
                       std::map<std::string, std::string> const &Extra = {});

/// Accepts connections and serves each on a thread of its own.
class Server {
public:
  using Handler = std::function<void(Connection &)>;

  ~Server() { stop(); }
  /// Port 0 selects a free one.
  bool start(std::string const &Host, std::uint16_t Port, Handler Handler);
  void stop();
  std::uint16_t port() const { return Port_; }

private:
  void acceptAll();

  int Descriptor_ = -1;
  std::uint16_t Port_ = 0;
  Handler Handler_;
  std::thread Thread_;
  std::mutex Mutex_;
  std::condition_variable Ended_;
  std::set<Connection *> Open_;
  bool IsStopped_ = false;
};

/// The platform's store and, at the same address, its cloud API.
class Store {
public:
  bool start();
  void stop();
  std::uint16_t port() const { return Server_.port(); }
  void put(std::string const &Kind, std::string const &Name,
           Json const &Specification);
  void remove(std::string const &Kind, std::string const &Name);
  /// Returns the calls to the cloud API.
  std::vector<std::string> cloudCalls();

private:
  struct Object {
    std::uint64_t Revision_ = 0;
    Json Specification_;
    bool IsDeleted_ = false;
  };

  void serve(Connection &Client);
  std::string answer(Message const &Call);
  std::string read(std::string const &Kind, std::string const &Name,
                   std::map<std::string, std::string> const &Query);
  std::string watch(std::string const &Kind, std::uint64_t From, double WaitMs);
  std::string write(std::string const &Method, std::string const &Kind,
                    std::string const &Name, Json const &Body);
  void change(std::string const &Kind, std::string const &Name,
              Json const &Specification, bool IsDeleted);
  static Json show(std::string const &Name, Object const &Shown);

  Server Server_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  bool IsStopped_ = false;
  std::uint64_t Revision_ = 1;
  std::map<std::string, std::map<std::string, Object>> Objects_;
  std::vector<std::string> CloudCalls_;
};

/// A runner. The handler answers one request on its connection and returns
/// whether the connection stays open.
class Runner {
public:
  using Handler =
      std::function<bool(Runner &, Message const &Request, Connection &To)>;

  Runner(Store &Store, std::string Id, std::string Service, unsigned Slots,
         Handler Handler);
  bool start();
  void stop() { Server_.stop(); }
  /// Starts again, after stop(), at the same address and under another id.
  bool restart(std::string Id);
  std::string const &id() const { return Id_; }
  /// The head of a 200 answer of this runner, up to its framing.
  std::string head(Message const &Request) const;
  void list(std::string const &State);

private:
  void serve(Connection &Client);
  bool listen(std::uint16_t Port);

  Store &Store_;
  std::string Id_;
  std::string Service_;
  unsigned Slots_;
  Handler Handler_;
  std::atomic<std::int64_t> Born_ = 0;
  std::uint64_t Sequence_ = 0;
  Server Server_;
};

/// A process of the system, started as the deploy file says.
class Entry {
public:
  Entry(unsigned Number, std::uint16_t StorePort);
  ~Entry();
  Entry(Entry const &) = delete;
  Entry &operator=(Entry const &) = delete;

  void start();
  bool awaitReady() const;
  void signal(int Number) const;
  /// Adds a line to the settings file.
  void addSetting(std::string const &Line) const;
  /// Whether the process has ended; reaps it.
  bool hasEnded();
  std::string const &address() const { return Address_; }
  static constexpr std::uint16_t Port = 8360;

private:
  std::string Address_;
  std::string Folder_;
  pid_t Process_ = -1;
};

struct Request {
  std::string Id_;
  std::string Method_ = "POST";
  std::string Path_;
  std::string Body_;
  double DeadlineMs_ = 2000;
  Fields Extra_;
};

struct Answer {
  int Status_ = 0; ///< 0: there was no head.
  Fields Fields_;
  std::string Body_;
  bool IsWhole_ = false;
  bool IsTimedOut_ = false; ///< The client's deadline passed.
  double EndedAtMs_ = 0;
};

/// Sends a request on an open connection and reads its answer.
Answer exchange(Connection &Over, Request const &Asked);
std::string nextId();

/// A route, as the operator writes it.
Json route(std::string const &Path, std::string const &Kind,
           std::string const &Service, int TimeoutMs, int TargetMs,
           int MaxAttempts);
/// A configuration with one tenant that has the key "key-1" and no limit.
Json configuration(std::uint64_t Version, Json const &Routes,
                   std::vector<std::string> const &Services);

} // namespace review
