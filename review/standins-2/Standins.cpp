#include "Standins.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <netinet/tcp.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

Clock::time_point const Start = Clock::now();
constexpr std::size_t ReadSize = 65536;

std::string lowered(std::string Text) {
  std::transform(
      Text.begin(), Text.end(), Text.begin(),
      [](unsigned char Character) { return std::tolower(Character); });
  return Text;
}

sockaddr_in addressOf(std::string const &Host, std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  inet_pton(AF_INET, Host.c_str(), &Address.sin_addr);
  return Address;
}

std::string decodeUrl(std::string const &Text) {
  std::string Decoded;
  for (std::size_t At = 0; At < Text.size(); ++At)
    if (Text[At] == '%' && At + 2 < Text.size()) {
      Decoded += static_cast<char>(
          std::strtol(Text.substr(At + 1, 2).c_str(), nullptr, 16));
      At += 2;
    } else {
      Decoded += Text[At];
    }
  return Decoded;
}

std::map<std::string, std::string> queryOf(std::string const &Text) {
  std::map<std::string, std::string> Query;
  std::istringstream Parts(Text);
  for (std::string Part; std::getline(Parts, Part, '&');) {
    auto const Equals = Part.find('=');
    if (Equals != std::string::npos)
      Query[Part.substr(0, Equals)] = decodeUrl(Part.substr(Equals + 1));
  }
  return Query;
}

std::string jsonAnswer(int Status, Json const &Body) {
  return answerText(Status, Body.dump(),
                    {{"Content-Type", "application/json"}});
}

} // namespace

double nowMs() {
  return std::chrono::duration<double, std::milli>(Clock::now() - Start)
      .count();
}

void sleepMs(double Milliseconds) {
  if (Milliseconds > 0)
    std::this_thread::sleep_for(
        std::chrono::duration<double, std::milli>(Milliseconds));
}

void limitRun() {
  constexpr unsigned Seconds = 116;
  std::signal(SIGALRM, [](int) { std::_Exit(2); });
  ::alarm(Seconds);
}

bool hasTrouble() {
  char const *const Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

std::string loopbackAddress(unsigned Number) {
  auto const Process = static_cast<unsigned>(getpid());
  return "127." + std::to_string(100 + Number) + '.' +
         std::to_string(Process / 250 % 250) + '.' +
         std::to_string(Process % 250 + 1);
}

void Record::add(std::string const &Line) {
  std::lock_guard const Lock(Mutex_);
  File_ << static_cast<std::int64_t>(nowMs()) << " ms  " << Line << std::endl;
}

// Connections.

bool Connection::open(std::string const &Host, std::uint16_t Port) {
  close();
  Descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int const On = 1;
  ::setsockopt(Descriptor_, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  auto const Address = addressOf(Host, Port);
  if (::connect(Descriptor_, reinterpret_cast<sockaddr const *>(&Address),
                sizeof(Address)) == 0)
    return true;
  close();
  return false;
}

bool Connection::send(std::string const &Bytes) {
  for (std::size_t At = 0; At < Bytes.size();) {
    auto const Sent =
        ::send(Descriptor_, Bytes.data() + At, Bytes.size() - At, MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    At += static_cast<std::size_t>(Sent);
  }
  return true;
}

bool Connection::fill() {
  std::string Chunk(ReadSize, '\0');
  auto const Count = ::recv(Descriptor_, Chunk.data(), Chunk.size(), 0);
  if (Count <= 0)
    return false;
  Buffer_.append(Chunk, 0, static_cast<std::size_t>(Count));
  return true;
}

bool Connection::readLine(std::string &Into) {
  for (;;) {
    auto const End = Buffer_.find("\r\n");
    if (End != std::string::npos) {
      Into = Buffer_.substr(0, End);
      Buffer_.erase(0, End + 2);
      return true;
    }
    if (!fill())
      return false;
  }
}

bool Connection::readBytes(std::size_t Count, std::string &Into) {
  while (Buffer_.size() < Count)
    if (!fill())
      return false;
  Into.append(Buffer_, 0, Count);
  Buffer_.erase(0, Count);
  return true;
}

void Connection::setReadTimeout(double Milliseconds) {
  auto const Micro =
      static_cast<std::int64_t>(std::max(Milliseconds, 1.0) * 1000);
  timeval const Limit{Micro / 1000000, Micro % 1000000};
  ::setsockopt(Descriptor_, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
}

void Connection::shutdown() {
  if (Descriptor_ >= 0)
    ::shutdown(Descriptor_, SHUT_RDWR);
}

void Connection::reset() {
  linger const Abort{1, 0};
  ::setsockopt(Descriptor_, SOL_SOCKET, SO_LINGER, &Abort, sizeof(Abort));
  close();
}

void Connection::close() {
  if (Descriptor_ >= 0)
    ::close(std::exchange(Descriptor_, -1));
  Buffer_.clear();
}

// Messages.

bool readHead(Connection &From, Message &Into) {
  Into = {};
  if (!From.readLine(Into.Start_))
    return false;
  for (std::string Line; From.readLine(Line);) {
    if (Line.empty())
      return true;
    auto const Colon = Line.find(':');
    if (Colon == std::string::npos)
      return false;
    auto const Value = Line.find_first_not_of(' ', Colon + 1);
    Into.Fields_[lowered(Line.substr(0, Colon))] =
        Value == std::string::npos ? std::string() : Line.substr(Value);
  }
  return false;
}

bool readBody(Connection &From, Message &Into) {
  auto const Encoding = Into.Fields_.find("transfer-encoding");
  if (Encoding == Into.Fields_.end()) {
    auto const Length = Into.Fields_.find("content-length");
    return Length == Into.Fields_.end() ||
           From.readBytes(std::strtoull(Length->second.c_str(), nullptr, 10),
                          Into.Body_);
  }
  for (std::string Line; From.readLine(Line);) {
    auto const Size = std::strtoull(Line.c_str(), nullptr, 16);
    if (!From.readBytes(Size, Into.Body_) || !From.readLine(Line))
      return false;
    if (Size == 0)
      return true;
  }
  return false;
}

std::string answerText(int Status, std::string const &Body,
                       std::map<std::string, std::string> const &Extra) {
  auto Text = "HTTP/1.1 " + std::to_string(Status) + " Answer\r\n";
  for (auto const &[Name, Value] : Extra)
    Text.append(Name).append(": ").append(Value).append("\r\n");
  Text.append("Content-Length: ").append(std::to_string(Body.size()));
  return Text.append("\r\n\r\n").append(Body);
}

// Servers.

bool Server::start(std::string const &Host, std::uint16_t Port,
                   Handler Handler) {
  constexpr int Backlog = 512;
  Handler_ = std::move(Handler);
  IsStopped_ = false;
  Descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int const On = 1;
  ::setsockopt(Descriptor_, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  auto Address = addressOf(Host, Port);
  socklen_t Size = sizeof(Address);
  if (::bind(Descriptor_, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
      ::listen(Descriptor_, Backlog) != 0 ||
      ::getsockname(Descriptor_, reinterpret_cast<sockaddr *>(&Address),
                    &Size) != 0)
    return false;
  Port_ = ntohs(Address.sin_port);
  Thread_ = std::thread([this] { acceptAll(); });
  return true;
}

void Server::acceptAll() {
  for (;;) {
    int const Accepted = ::accept4(Descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
    if (Accepted < 0)
      return;
    int const On = 1;
    ::setsockopt(Accepted, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    std::thread([this, Accepted] {
      Connection Client(Accepted);
      {
        std::lock_guard const Lock(Mutex_);
        Open_.insert(&Client);
        if (IsStopped_)
          Client.shutdown();
      }
      Handler_(Client);
      std::lock_guard const Lock(Mutex_);
      Open_.erase(&Client);
      Ended_.notify_all();
    }).detach();
  }
}

void Server::stop() {
  if (Descriptor_ < 0)
    return;
  {
    std::lock_guard const Lock(Mutex_);
    IsStopped_ = true;
    for (auto *const Client : Open_)
      Client->shutdown();
  }
  ::shutdown(Descriptor_, SHUT_RDWR);
  Thread_.join();
  ::close(std::exchange(Descriptor_, -1));
  std::unique_lock Lock(Mutex_);
  Ended_.wait(Lock, [this] { return Open_.empty(); });
}

// The store.

bool Store::start() {
  return Server_.start("127.0.0.1", 0,
                       [this](Connection &Client) { serve(Client); });
}

void Store::stop() {
  {
    std::lock_guard const Lock(Mutex_);
    IsStopped_ = true;
    Changed_.notify_all();
  }
  Server_.stop();
}

void Store::serve(Connection &Client) {
  for (Message Call; readHead(Client, Call) && readBody(Client, Call);)
    if (!Client.send(answer(Call)))
      return;
}

std::string Store::answer(Message const &Call) {
  constexpr char const *ObjectsPath = "/laburnumpond/objects/";
  std::istringstream Start(Call.Start_);
  std::string Method;
  std::string Target;
  Start >> Method >> Target;
  auto const Question = std::min(Target.find('?'), Target.size());
  auto const Path = Target.substr(0, Question);
  if (!Path.starts_with(ObjectsPath)) {
    std::lock_guard const Lock(Mutex_);
    CloudCalls_.push_back(Path + ' ' + Call.Body_);
    return jsonAnswer(200, Json::object());
  }
  auto const Query =
      queryOf(Question == Target.size() ? "" : Target.substr(Question + 1));
  auto const Object = Path.substr(std::strlen(ObjectsPath));
  auto const Slash = std::min(Object.find('/'), Object.size());
  auto const Kind = decodeUrl(Object.substr(0, Slash));
  auto const Name =
      Slash == Object.size() ? "" : decodeUrl(Object.substr(Slash + 1));
  if (Method != "GET")
    return write(Method, Kind, Name, Json::parse(Call.Body_, nullptr, false));
  if (Query.contains("watch"))
    return watch(Kind, std::stoull(Query.at("watch")),
                 std::stod(Query.at("wait_ms")));
  return read(Kind, Name, Query);
}

Json Store::show(std::string const &Name, Object const &Shown) {
  return {{"metadata",
           {{"name", Name},
            {"revision", Shown.Revision_},
            {"finalizers", Json::array()},
            {"deleting", false}}},
          {"specification", Shown.Specification_},
          {"status", Json::object()}};
}

std::string Store::read(std::string const &Kind, std::string const &Name,
                        std::map<std::string, std::string> const &Query) {
  std::lock_guard const Lock(Mutex_);
  auto const &Objects = Objects_[Kind];
  if (!Name.empty()) {
    auto const Found = Objects.find(Name);
    return Found == Objects.end() || Found->second.IsDeleted_
               ? jsonAnswer(404, Json::object())
               : jsonAnswer(200, show(Name, Found->second));
  }
  auto const After = Query.contains("after") ? Query.at("after") : "";
  auto Items = Json::array();
  for (auto const &[Each, Object] : Objects)
    if (!Object.IsDeleted_ && Each > After)
      Items.push_back(show(Each, Object));
  return jsonAnswer(
      200, {{"items", Items}, {"has_more", false}, {"current_rev", Revision_}});
}

std::string Store::watch(std::string const &Kind, std::uint64_t From,
                         double WaitMs) {
  std::unique_lock Lock(Mutex_);
  auto Events = Json::array();
  auto const Collect = [&] {
    for (auto const &[Name, Object] : Objects_[Kind])
      if (Object.Revision_ > From)
        Events.push_back(
            {{"object", show(Name, Object)}, {"deleted", Object.IsDeleted_}});
    return !Events.empty() || IsStopped_;
  };
  Changed_.wait_for(Lock, std::chrono::duration<double, std::milli>(WaitMs),
                    Collect);
  return jsonAnswer(200, {{"events", Events}, {"current_rev", Revision_}});
}

std::string Store::write(std::string const &Method, std::string const &Kind,
                         std::string const &Name, Json const &Body) {
  std::lock_guard const Lock(Mutex_);
  auto const Metadata =
      Body.is_object() ? Body.value("metadata", Json::object()) : Json();
  auto const Target =
      Name.empty() ? Metadata.value("name", std::string()) : Name;
  auto const Found = Objects_[Kind].find(Target);
  bool const Exists =
      Found != Objects_[Kind].end() && !Found->second.IsDeleted_;
  if (Method == "POST"
          ? Exists
          : Exists && Metadata.is_object() && Metadata.contains("revision") &&
                Metadata["revision"] != Found->second.Revision_)
    return jsonAnswer(409, show(Target, Found->second));
  if (Method != "POST" && !Exists)
    return jsonAnswer(404, Json::object());
  bool const IsDeleted = Method == "DELETE";
  change(Kind, Target,
         IsDeleted ? Found->second.Specification_ : Body.at("specification"),
         IsDeleted);
  return jsonAnswer(200, show(Target, Objects_[Kind][Target]));
}

void Store::change(std::string const &Kind, std::string const &Name,
                   Json const &Specification, bool IsDeleted) {
  Objects_[Kind][Name] = {++Revision_, Specification, IsDeleted};
  Changed_.notify_all();
}

void Store::put(std::string const &Kind, std::string const &Name,
                Json const &Specification) {
  std::lock_guard const Lock(Mutex_);
  change(Kind, Name, Specification, false);
}

void Store::remove(std::string const &Kind, std::string const &Name) {
  std::lock_guard const Lock(Mutex_);
  change(Kind, Name, Json::object(), true);
}

std::vector<std::string> Store::cloudCalls() {
  std::lock_guard const Lock(Mutex_);
  return CloudCalls_;
}

// Runners.

Runner::Runner(Store &Store, std::string Id, std::string Service,
               unsigned Slots, Handler Handler)
    : Store_(Store), Id_(std::move(Id)), Service_(std::move(Service)),
      Slots_(Slots), Handler_(std::move(Handler)) {}

bool Runner::start() { return listen(0); }

bool Runner::restart(std::string Id) {
  Store_.remove("servers", std::exchange(Id_, std::move(Id)));
  return listen(Server_.port());
}

bool Runner::listen(std::uint16_t Port) {
  Born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count();
  Sequence_ = 0;
  if (!Server_.start("127.0.0.1", Port,
                     [this](Connection &Client) { serve(Client); }))
    return false;
  list("ready");
  return true;
}

void Runner::list(std::string const &State) {
  Store_.put("servers", Id_,
             {{"service", Service_},
              {"address", "127.0.0.1:" + std::to_string(Server_.port())},
              {"zone", "a-1"},
              {"version", "v1"},
              {"slots", Slots_},
              {"state", State},
              {"cold_remaining_ms", 0},
              {"born", Born_.load()},
              {"sequence", ++Sequence_}});
}

void Runner::serve(Connection &Client) {
  for (Message Asked; readHead(Client, Asked) && readBody(Client, Asked);) {
    if (Asked.Start_.starts_with("GET /laburnumpond/report")) {
      Json const Report = {{"stage", "both"}, {"models", Json::array()},
                           {"busy", false},   {"sequence", 0},
                           {"queued", 0},     {"active", 0},
                           {"kv_used", 0},    {"kv_total", 444000},
                           {"handles", 0},    {"born", Born_.load()}};
      if (!Client.send(jsonAnswer(200, Report)))
        return;
      continue;
    }
    auto const Expected = Asked.Fields_.find("x-expect-instance");
    if (Expected != Asked.Fields_.end() && Expected->second != Id_) {
      Client.send(
          answerText(421, "",
                     {{"X-Not-Executed", "1"},
                      {"X-Attempt-Id", Asked.Fields_["x-attempt-id"]}}));
      continue;
    }
    if (!Handler_(*this, Asked, Client))
      return;
  }
}

std::string Runner::head(Message const &Request) const {
  auto const Id = Request.Fields_.find("x-attempt-id");
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " +
         (Id == Request.Fields_.end() ? std::string() : Id->second) +
         "\r\nX-Server-Stamp: " + Id_ + "\r\n";
}

// Processes of the system.

Entry::Entry(unsigned Number, std::uint16_t StorePort)
    : Address_(loopbackAddress(Number)) {
  auto Template =
      (std::filesystem::temp_directory_path() / "review-entry-XXXXXX").string();
  if (!::mkdtemp(Template.data()))
    std::abort();
  Folder_ = Template;
  auto const Platform = "127.0.0.1:" + std::to_string(StorePort);
  std::ofstream(Folder_ + "/node.conf")
      << "node_name=edge-a-" << Number << "\nrole=entry\nmachine_class=edge"
      << "\nserves=edge\nip=" << Address_ << "\nzone=a-1\nregion=a"
      << "\nzones.a-1=a\nlisten.frontend=" << Address_ << ':' << Port
      << "\nlisten.ready=" << Address_ << ":8365"
      << "\ninternal_ports=7500,7515\nbootstrap=true"
      << "\nlimits.memory_mb=260\nlimits.file_descriptors=4100"
      << "\nplatform.address=" << Platform << "\ncloud_api.address=" << Platform
      << "\ncontracts=base,drain,config,cost,retry,recover,engine,stream,"
         "tenants,quota,leader,platform"
      << "\nbounds.contact_ms=3000\nbounds.grace_s=8\nbounds.lease_ms=3000"
      << "\nbounds.drain_ms=2500\nbounds.config_apply_ms=2500"
      << "\nbounds.retry_budget_ratio=0.2\nbounds.retry_budget_slack=56"
      << "\nbounds.retry_window_s=10\nbounds.quota_overrun=0.1"
      << "\nbounds.quota_slack=140000\nbounds.quota_window_s=8"
      << "\nbounds.usage_window_s=5\nbounds.usage_late_s=10\n";
}

Entry::~Entry() {
  if (Process_ > 0) {
    ::kill(Process_, SIGKILL);
    ::waitpid(Process_, nullptr, 0);
  }
  std::filesystem::remove_all(Folder_);
}

void Entry::start() {
  auto const Settings = "LABURNUMPOND_NODE_FILE=" + Folder_ + "/node.conf";
  auto const Log = Folder_ + "/log";
  Process_ = ::fork();
  if (Process_ != 0)
    return;
  // It ends with this process, also if that is killed.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (!std::freopen(Log.c_str(), "a", stdout))
    std::_Exit(2);
  std::string Name = "target/bin/laburnum-entry";
  std::string Variable = Settings;
  char *const Arguments[] = {Name.data(), nullptr};
  char *const Environment[] = {Variable.data(), nullptr};
  ::execve(Name.c_str(), Arguments, Environment);
  std::_Exit(2);
}

bool Entry::awaitReady() const {
  constexpr int Tries = 200;
  for (int Try = 0; Try < Tries; ++Try) {
    Connection Probe;
    Message Page;
    if (Probe.open(Address_, 8365) &&
        Probe.send("GET /laburnumpond/readiness HTTP/1.1\r\nHost: x\r\n\r\n") &&
        readHead(Probe, Page) && Page.Start_.find(" 200") != std::string::npos)
      return true;
    sleepMs(50);
  }
  return false;
}

void Entry::signal(int Number) const {
  if (Process_ > 0)
    ::kill(Process_, Number);
}

void Entry::addSetting(std::string const &Line) const {
  std::ofstream(Folder_ + "/node.conf", std::ios::app) << Line << '\n';
}

bool Entry::hasEnded() {
  if (Process_ <= 0)
    return true;
  if (::waitpid(Process_, nullptr, WNOHANG) != Process_)
    return false;
  Process_ = -1;
  return true;
}

// Clients.

std::string nextId() {
  static std::atomic<std::uint64_t> Last = 0;
  return "attempt-" + std::to_string(getpid()) + '-' + std::to_string(++Last);
}

Answer exchange(Connection &Over, Request const &Asked) {
  auto Text = Asked.Method_ + ' ' + Asked.Path_ +
              " HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + Asked.Id_ +
              "\r\nX-Key: key-1\r\nX-Deadline-Ms: " +
              std::to_string(static_cast<int>(Asked.DeadlineMs_)) + "\r\n";
  for (auto const &[Name, Value] : Asked.Extra_)
    Text.append(Name).append(": ").append(Value).append("\r\n");
  if (Asked.Method_ == "POST")
    Text += "Content-Length: " + std::to_string(Asked.Body_.size()) + "\r\n";
  auto const Deadline = nowMs() + Asked.DeadlineMs_;
  Over.setReadTimeout(Asked.DeadlineMs_);
  Answer Got;
  Message Received;
  if (Over.send(Text + "\r\n" + Asked.Body_) && readHead(Over, Received)) {
    Got.Status_ = std::atoi(
        Received.Start_.substr(std::min<std::size_t>(9, Received.Start_.size()))
            .c_str());
    Over.setReadTimeout(Deadline - nowMs());
    Got.IsWhole_ = readBody(Over, Received);
    Got.Fields_ = Received.Fields_;
    Got.Body_ = Received.Body_;
  }
  Got.EndedAtMs_ = nowMs();
  Got.IsTimedOut_ = !Got.IsWhole_ && Got.EndedAtMs_ >= Deadline - 5;
  return Got;
}

// Configurations.

Json route(std::string const &Path, std::string const &Kind,
           std::string const &Service, int TimeoutMs, int TargetMs,
           int MaxAttempts) {
  return {{"name", "r" + std::to_string(std::hash<std::string>()(Path) % 1000)},
          {"host", "desk.example"},
          {"path_prefix", Path},
          {"route_kind", Kind},
          {"timeout_ms", TimeoutMs},
          {"target_latency_ms", TargetMs},
          {"service", Service},
          {"priority", 1},
          {"max_attempts", MaxAttempts}};
}

Json configuration(std::uint64_t Version, Json const &Routes,
                   std::vector<std::string> const &Services) {
  auto Listed = Json::array();
  for (auto const &Name : Services)
    Listed.push_back({{"name", Name},
                      {"health_path", "/healthz"},
                      {"connection_limit", 240}});
  return {{"version", Version},
          {"routes", Routes},
          {"services", Listed},
          {"tenants",
           Json::array({{{"name", "tenant-1"}, {"api_keys", {"key-1"}}}})},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 2000},
            {"idle_timeout_ms", 10000}}}};
}

} // namespace review
