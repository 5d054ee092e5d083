#include "LocalDeployment.h"

#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace laburnum::processes {

using nlohmann::json;

namespace {

constexpr char Loopback[] = "127.0.0.1";

httplib::Client clientOf(std::uint16_t Port) {
  httplib::Client Client(Loopback, Port);
  Client.set_tcp_nodelay(true);
  Client.set_connection_timeout(TestTimeout);
  Client.set_read_timeout(TestTimeout);
  return Client;
}

/// Encodes a claim's key as stored by the platform.
std::string hexOf(std::string const &Bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Hex;
  for (unsigned char const Byte : Bytes) {
    Hex.push_back(Digits[Byte / Digits.size()]);
    Hex.push_back(Digits[Byte % Digits.size()]);
  }
  return Hex;
}

template <typename Value> void require(Result<Value> const &Outcome) {
  if (isError(Outcome))
    throw std::runtime_error(toString(errorOf(Outcome)));
}

} // namespace

std::string Answer::runState() const {
  auto const Parsed = json::parse(Body_, nullptr, false);
  if (!Parsed.is_object() || !Parsed.contains("error"))
    return "";
  return Parsed["error"].value("run_state", "");
}

Answer call(std::uint16_t Port, std::string const &Method,
            std::string const &Path, std::string const &Body,
            httplib::Headers const &Headers) {
  httplib::Request Request;
  Request.method = Method;
  Request.path = Path;
  Request.body = Body;
  Request.headers = Headers;
  auto Client = clientOf(Port);
  auto const Response = Client.send(Request);
  return Response ? Answer{Response->status, Response->body} : Answer{};
}

std::uint64_t Standin::count(std::string const &Key) const {
  auto const Counts = json::parse(call(Port_, "GET", "/counts").Body_);
  return Counts.value(Key, std::uint64_t{0});
}

std::uint64_t Standin::runsOf(std::string const &Key) const {
  auto const Counts = json::parse(call(Port_, "GET", "/counts").Body_);
  return Counts.at("by_key").value(Key, std::uint64_t{0});
}

void Standin::injectFault(json const &Fault) const {
  auto const Response = call(Port_, "POST", "/faults", Fault.dump());
  if (Response.Status_ != 200)
    throw std::runtime_error("the stand-in refused " + Fault.dump());
}

LocalDeployment::LocalDeployment(std::size_t Instances,
                                 std::string CallersSettings)
    : CallersSettings_(std::move(CallersSettings)) {
  auto Template =
      (std::filesystem::temp_directory_path() / "laburnum-processes-XXXXXX")
          .string();
  if (!mkdtemp(Template.data()))
    throw std::runtime_error("no folder for settings");
  Folder_ = Template;
  Platform_ = startStandin("platform-standin", "platform", {});
  for (char const *Name : {"desk-1", "desk-2"})
    Services_.push_back(startStandin("service-standin", Name, {}));
  for (char const *Name : {"runner-1", "runner-2"})
    Engines_.push_back(
        startStandin("engine-standin", Name, {"--token-interval-ms", "10"}));
  while (Instances_.size() < Instances)
    addInstance();
  configure();
  for (auto const &Element : Instances_)
    if (!await([&] {
          return serves(Element->Callers_, "/services/entry-desk/s");
        }))
      throw std::runtime_error(Element->Name_ + " does not serve");
}

LocalDeployment::~LocalDeployment() {
  Instances_.clear();
  std::error_code Ignored;
  std::filesystem::remove_all(Folder_, Ignored);
}

std::unique_ptr<Standin>
LocalDeployment::startStandin(std::string const &Program,
                              std::string const &Name,
                              std::vector<std::string> Arguments) {
  auto Created = std::make_unique<Standin>();
  Created->Name_ = Name;
  Created->Process_ = std::make_unique<Process>(Program, std::move(Arguments));
  auto const Line = Created->Process_->awaitLine("listening on ");
  Created->Port_ = portIn(Line, std::string(Loopback) + ":");
  return Created;
}

std::string LocalDeployment::writeSettings(DaemonProcess const &Instance,
                                           std::size_t Number) const {
  auto Path = Folder_ + "/" + Instance.Name_ + ".ini";
  std::string Seeds;
  for (std::size_t Index = 0; Index + 1 < Number; ++Index)
    Seeds += (Seeds.empty() ? "" : ",") + std::string(Loopback) + ":" +
             std::to_string(Instances_[Index]->Peers_);
  std::ofstream(Path) << "[instance]\nid = " << Instance.Name_
                      << "\ndata_centre = wien-" << Number % 2 + 1
                      << "\n[callers]\nport = " << Instance.Callers_ << '\n'
                      << CallersSettings_
                      << "[operators]\nport = " << Instance.Operators_
                      << "\nkeys = tests:" << OperatorKey_
                      << "\n[peers]\nport = " << Instance.Peers_
                      << "\nsecret = " << Secret_ << "\nseeds = " << Seeds
                      << "\n[platform]\nendpoint = 127.0.0.1:"
                      << Platform_->Port_ << "\nwrites_per_second = 1000"
                      << "\n[backends]\nstall_timeout_ms = 1500\n";
  return Path;
}

void LocalDeployment::launchAgain(std::size_t Index) {
  auto &Instance = *Instances_[Index];
  auto const Path = writeSettings(Instance, Index + 1);
  Instance.Process_ = std::make_unique<Process>(
      "laburnumd", std::vector<std::string>{"--settings", Path});
}

DaemonProcess &LocalDeployment::addInstance() {
  auto const Number = Instances_.size() + 1;
  auto const Name = "entry-" + std::to_string(Number);
  auto Created = std::make_unique<DaemonProcess>();
  Created->Name_ = Name;
  auto const Path = writeSettings(*Created, Number);
  Created->Process_ = std::make_unique<Process>(
      "laburnumd", std::vector<std::string>{"--settings", Path});
  auto const Line = Created->Process_->awaitLine("state=serving");
  Created->Callers_ = portIn(Line, "callers_port=");
  Created->Operators_ = portIn(Line, "operators_port=");
  Created->Peers_ = portIn(Line, "peers_port=");
  auto const At = [](std::uint16_t Port) {
    return std::string(Loopback) + ":" + std::to_string(Port);
  };
  json const Listed = {
      {"id", Name},
      {"data_centre", "wien-" + std::to_string(Number % 2 + 1)},
      {"callers", At(Created->Callers_)},
      {"peers", At(Created->Peers_)},
      {"operators", At(Created->Operators_)},
      {"state", "live"}};
  call(Platform_->Port_, "POST", "/instances", Listed.dump());
  Instances_.push_back(std::move(Created));
  return *Instances_.back();
}

OperatorClient LocalDeployment::operatorOf(std::size_t Index) const {
  return OperatorClient({std::string(Loopback) + ":" +
                             std::to_string(Instances_[Index]->Operators_),
                         OperatorKey_, TestTimeout});
}

void LocalDeployment::applyServer(OperatorClient &Client,
                                  std::string const &Service,
                                  Standin const &Server) {
  BackendServer Value;
  Value.Id_ = ServerId(Server.Name_);
  Value.Service_ = ServiceName(Service);
  Value.DataCentre_ = DataCentre("wien-1");
  Value.Endpoint_ = {Loopback, Server.Port_};
  Value.Capacity_ = 64;
  ChangeId const Id("change-" + std::to_string(++Changes_));
  require(Client.applyServer({Id, 0, ""}, Value));
}

void LocalDeployment::configure() {
  auto Client = operatorOf(0);
  auto const Next = [this] {
    return OperatorChange{ChangeId("change-" + std::to_string(++Changes_)), 0,
                          ""};
  };
  Service PlainService;
  PlainService.Name_ = ServiceName("entry-desk");
  PlainService.Kind_ = ServiceKind::Plain;
  PlainService.NonIdempotentCalls_ = {{"POST", "/fees"}};
  require(Client.applyService(Next(), PlainService));
  Service Writer;
  Writer.Name_ = ServiceName("dossier-writer");
  Writer.Kind_ = ServiceKind::Model;
  require(Client.applyService(Next(), Writer));
  for (auto const &Element : Services_)
    applyServer(Client, "entry-desk", *Element);
  for (auto const &Element : Engines_)
    applyServer(Client, "dossier-writer", *Element);
  AccountInput Account;
  Account.Name_ = AccountName("stalls");
  Account.Key_ = AccountKey_;
  Account.Limits_ = {1e6, 1e9, 100000};
  require(Client.applyAccount(Next(), Account));
}

void LocalDeployment::applyService(std::size_t Index, std::string const &Name) {
  auto Client = operatorOf(Index);
  Services_.push_back(startStandin("service-standin", "of-" + Name, {}));
  applyServer(Client, Name, *Services_.back());
  Service Added;
  Added.Name_ = ServiceName(Name);
  Added.Kind_ = ServiceKind::Plain;
  ChangeId const Id("change-" + std::to_string(++Changes_));
  require(Client.applyService({Id, 0, ""}, Added));
}

void LocalDeployment::applyService(std::size_t Index, std::string const &Name,
                                   Endpoint const &Server,
                                   std::uint32_t Capacity) {
  auto Client = operatorOf(Index);
  auto const Next = [this] {
    return OperatorChange{ChangeId("change-" + std::to_string(++Changes_)), 0,
                          ""};
  };
  BackendServer Value;
  Value.Id_ = ServerId("of-" + Name);
  Value.Service_ = ServiceName(Name);
  Value.DataCentre_ = DataCentre("wien-1");
  Value.Endpoint_ = Server;
  Value.Capacity_ = Capacity;
  require(Client.applyServer(Next(), Value));
  Service Added;
  Added.Name_ = ServiceName(Name);
  Added.Kind_ = ServiceKind::Plain;
  require(Client.applyService(Next(), Added));
}

httplib::Headers LocalDeployment::headers(std::string const &Key) const {
  httplib::Headers Created = {{"Authorization", "Bearer " + AccountKey_}};
  if (!Key.empty())
    Created.emplace("Idempotency-Key", Key);
  return Created;
}

Answer LocalDeployment::status(std::size_t Index) const {
  return call(Instances_[Index]->Callers_, "GET", "/services/entry-desk/status",
              "", headers());
}

Answer LocalDeployment::fee(std::size_t Index, std::string const &Key) const {
  auto Fields = headers(Key);
  Fields.emplace("Content-Type", "application/json");
  return call(Instances_[Index]->Callers_, "POST", "/services/entry-desk/fees",
              R"({"yen":3000})", Fields);
}

std::string
LocalDeployment::completion(std::size_t Index, std::string const &Prompt,
                            std::uint32_t Tokens,
                            std::function<void(std::uint32_t)> OnToken) const {
  json const Body = {{"model", "dossier-writer"},
                     {"prompt", Prompt},
                     {"max_tokens", Tokens},
                     {"stream", true}};
  httplib::Request Request;
  Request.method = "POST";
  Request.path = "/v1/completions";
  Request.headers = headers();
  Request.body = Body.dump();
  std::string Rest;
  std::string Text;
  std::uint32_t Seen = 0;
  bool IsComplete = false;
  auto const TakeLine = [&](std::string const &Line) {
    IsComplete |= Line == "data: [DONE]";
    auto const Parsed = Line.rfind("data: {", 0) == 0
                            ? json::parse(Line.substr(6), nullptr, false)
                            : json();
    if (!Parsed.is_object() || !Parsed.contains("choices"))
      return;
    Text += Parsed["choices"][0]["text"].get<std::string>();
    ++Seen;
    if (OnToken)
      OnToken(Seen);
  };
  Request.content_receiver = [&](char const *Bytes, std::size_t Size,
                                 std::uint64_t, std::uint64_t) {
    Rest.append(Bytes, Size);
    for (auto End = Rest.find('\n'); End != std::string::npos;
         End = Rest.find('\n')) {
      TakeLine(Rest.substr(0, End));
      Rest.erase(0, End + 1);
    }
    return true;
  };
  clientOf(Instances_[Index]->Callers_).send(Request);
  return IsComplete ? Text : "";
}

std::uint64_t LocalDeployment::runsOf(std::string const &Key) const {
  std::uint64_t Runs = 0;
  for (auto const &Element : Services_)
    Runs += Element->runsOf(Key);
  return Runs;
}

bool LocalDeployment::isClaimed(std::string const &Key) const {
  auto const Response = call(Platform_->Port_, "GET", "/objects/claims");
  return Response.Status_ == 200 &&
         Response.Body_.find(hexOf(Key)) != std::string::npos;
}

bool LocalDeployment::serves(std::uint16_t Callers,
                             std::string const &Path) const {
  return call(Callers, "GET", Path, "", headers()).Status_ == 200;
}

} // namespace laburnum::processes
