#include "StreamServers.h"

#include "StandinRecords.h"

#include <csignal>
#include <utility>
#include <variant>

namespace laburnum::entry_process {

StreamServers::StreamServers(unsigned Instances, std::string const &Program) {
  Thread_.on([&] {
    StoreListener_ = std::get<0>(
        HttpListener::create(Thread_.context(), {"127.0.0.1", 0}, Store_));
    auto Configuration = configurationJson(1);
    for (auto const &Route : Configuration["routes"])
      if (Route.contains("stream_resume")) {
        auto Once = Route;
        Once["name"] = Once["path_prefix"] = "/once/";
        Once["stream_resume"] = false;
        Configuration["routes"].push_back(std::move(Once));
        break;
      }
    Store_.put("config", "main", std::move(Configuration));
  });
  for (unsigned Number = 0; Number < Instances; ++Number)
    Instances_.push_back(std::make_unique<EntryProcess>(
        Number, StoreListener_->localEndpoint().Port_, Program));
}

StreamServers::~StreamServers() {
  Instances_.clear();
  Thread_.on([this] { StoreListener_->stopAccepting(); });
  Thread_.stop();
}

void StreamServers::startInstances() {
  for (auto const &Instance : Instances_)
    Instance->start();
  for (auto const &Instance : Instances_)
    if (Instances_.size() > 1)
      Instance->process().awaitLine("fleet_changed live=" +
                                    std::to_string(Instances_.size()));
}

void StreamServers::add(std::string const &Id, Settings Settings) {
  Servers_[Id].Settings_ = std::move(Settings);
  launch(Id);
  auto &Server = Servers_[Id];
  if (Server.Settings_.IsProxied_) {
    Server.Proxy_ = std::make_unique<processes::Process>(
        "stream-proxy",
        std::vector<std::string>{"--to=" + std::to_string(Server.Port_)});
    Server.ProxyPort_ =
        processes::portIn(Server.Proxy_->awaitLine("listening"), "port=");
  }
  list(Id);
}

void StreamServers::restart(std::string const &Id, std::string const &Version) {
  auto &Server = Servers_.at(Id);
  Server.Settings_.Version_ = Version;
  Replaced_.push_back(std::move(Server.Process_));
  launch(Id);
}

void StreamServers::launch(std::string const &Id) {
  auto &Server = Servers_.at(Id);
  auto const &Chosen = Server.Settings_;
  Server.Born_ = ++LastBorn_;
  std::vector<std::string> Arguments = {
      "--id=" + Id,
      "--port=" + std::to_string(Server.Port_),
      "--version=" + Chosen.Version_,
      "--framing=" + Chosen.Framing_,
      "--term=" + Chosen.Term_,
      "--lives=" + std::to_string(Chosen.Lives_)};
  Arguments.insert(Arguments.end(), Chosen.Others_.begin(),
                   Chosen.Others_.end());
  if (Chosen.StatesStart_)
    Arguments.push_back("--born=" + std::to_string(Server.Born_));
  Server.Process_ = std::make_unique<processes::Process>("stream-server",
                                                         std::move(Arguments));
  Server.Port_ =
      processes::portIn(Server.Process_->awaitLine("listening"), "port=");
}

void StreamServers::list(std::string const &Id, std::string const &State) {
  auto const &Server = Servers_.at(Id);
  auto const Port = Server.Proxy_ ? Server.ProxyPort_ : Server.Port_;
  Thread_.on([&] {
    Store_.put("servers", Id,
               serverJson({"127.0.0.1", Port}, State, Server.Born_, ++Sequence_,
                          Server.Settings_.Version_,
                          Server.Settings_.Service_));
  });
}

void StreamServers::remove(std::string const &Id) {
  Thread_.on([&] { Store_.remove("servers", Id); });
  auto &Server = Servers_.at(Id);
  Server.Process_->signal(SIGKILL);
  Replaced_.push_back(std::move(Server.Process_));
  Servers_.erase(Id);
}

void StreamServers::configure(nlohmann::json Configuration) {
  Thread_.on([&] { Store_.put("config", "main", std::move(Configuration)); });
}

std::vector<std::string> StreamServers::lines(std::string const &Text) {
  std::vector<std::string> Found;
  auto const Collect = [&](processes::Process &Process) {
    for (auto &Line : Process.lines())
      if (Line.find(Text) != std::string::npos)
        Found.push_back(std::move(Line));
  };
  for (auto const &Process : Replaced_)
    Collect(*Process);
  for (auto const &[Id, Server] : Servers_)
    Collect(*Server.Process_);
  return Found;
}

std::map<std::string, unsigned> StreamServers::runs(std::string const &Prefix) {
  std::map<std::string, unsigned> Runs;
  for (auto const &Line : lines("ran " + Prefix))
    ++Runs[Line.substr(4, Line.find(' ', 4) - 4)];
  return Runs;
}

} // namespace laburnum::entry_process
