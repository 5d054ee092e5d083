#include "EntryFixture.h"

#include <httplib.h>

#include <fstream>
#include <stdexcept>
#include <unistd.h>
#include <variant>

namespace laburnum::entry_process {

namespace {

using nlohmann::json;

constexpr std::uint16_t TrafficPort = 8360;
constexpr std::uint16_t ReadinessPort = 8365;

/// Every process of a test run has a loopback address of its own, so that the
/// fixed ports are free.
std::string ownAddress() {
  auto const Number = static_cast<unsigned>(getpid());
  return "127.66." + std::to_string(Number / 250 % 250) + '.' +
         std::to_string(Number % 250 + 1);
}

json route(std::string const &Path, std::string const &Kind) {
  return {{"name", Path},        {"host", "desk.example"},
          {"path_prefix", Path}, {"route_kind", Kind},
          {"timeout_ms", 2000},  {"target_latency_ms", 400},
          {"service", "desk"},   {"max_attempts", 2}};
}

} // namespace

EntryFixture::EntryFixture() : Address_(ownAddress()) {
  auto Template =
      (std::filesystem::temp_directory_path() / "laburnum-entry-XXXXXX")
          .string();
  if (!mkdtemp(Template.data()))
    throw std::runtime_error("no folder for settings");
  Folder_ = Template;
  Endpoint const AnyPort{"127.0.0.1", 0};
  StoreListener_ = std::get<0>(HttpListener::create(Context_, AnyPort, Store_));
  RunnerListener_ =
      std::get<0>(HttpListener::create(Context_, AnyPort, Runner_));
  Thread_ = std::thread([this] { Context_.run(); });
  writeSettings("0.2");
  writeConfiguration(1);
  writeServer("i-1", "ready");
  Entry_ = std::make_unique<processes::Process>(
      "laburnum-entry",
      std::vector<std::string>{"--settings", (Folder_ / "node.conf").string()});
  if (!processes::await([this] { return isReady(); }))
    throw std::runtime_error("the instance does not become ready");
}

EntryFixture::~EntryFixture() {
  Entry_.reset();
  on([this] {
    StoreListener_->stopAccepting();
    RunnerListener_->stopAccepting();
  });
  Context_.stop();
  Thread_.join();
  std::filesystem::remove_all(Folder_);
}

void EntryFixture::writeSettings(std::string const &RetryRatio) {
  auto const Store =
      "127.0.0.1:" + std::to_string(StoreListener_->localEndpoint().Port_);
  std::ofstream File(Folder_ / "node.conf.new");
  File << "node_name=edge-a-1\nip=" << Address_
       << "\nzone=a-1\nzones.a-1=a\nlisten.frontend=" << Address_ << ':'
       << TrafficPort << "\nlisten.ready=" << Address_ << ':' << ReadinessPort
       << "\ninternal_ports=7500,7515\nplatform.address=" << Store
       << "\ncloud_api.address=" << Store
       << "\nbounds.grace_s=8\nbounds.lease_ms=3000"
       << "\nbounds.retry_budget_ratio=" << RetryRatio
       << "\nbounds.retry_budget_slack=56\nbounds.retry_window_s=10"
       << "\nbounds.quota_overrun=0.1\nbounds.quota_slack=140000"
       << "\nbounds.usage_window_s=1\nbounds.usage_late_s=10\n";
  File.close();
  std::filesystem::rename(Folder_ / "node.conf.new", Folder_ / "node.conf");
}

void EntryFixture::writeConfiguration(std::uint64_t Version) {
  auto Routes = json::array(
      {route("/read/", "idempotent"), route("/order/", "non_idempotent")});
  if (Version > 1)
    Routes.push_back(route("/new/", "idempotent"));
  json const Configuration = {
      {"version", Version},
      {"routes", Routes},
      {"services", json::array({{{"name", "desk"}}})},
      {"tenants", json::array({{{"name", "a"}, {"api_keys", {"k1"}}}})}};
  on([this, Configuration] { Store_.put("config", "main", Configuration); });
}

void EntryFixture::writeServer(std::string const &Name,
                               std::string const &State,
                               std::uint64_t Sequence) {
  json const Entry = {
      {"service", "desk"},
      {"address",
       "127.0.0.1:" + std::to_string(RunnerListener_->localEndpoint().Port_)},
      {"zone", "a-1"},
      {"slots", 8},
      {"state", State},
      {"born", 1700000000000},
      {"sequence", Sequence}};
  on([this, Name, Entry] { Store_.put("servers", Name, Entry); });
}

Got EntryFixture::ask(std::uint16_t Port, std::string const &Method,
                      std::string const &Path, std::string const &Key) const {
  httplib::Client Client(Address_, Port);
  Client.set_read_timeout(processes::Ample);
  httplib::Request Request;
  Request.method = Method;
  Request.path = Path;
  Request.headers = {{"Host", "desk.example"},
                     {"X-Attempt-Id", "attempt-1"},
                     {"X-Deadline-Ms", "2000"},
                     {"X-Key", Key}};
  auto const Answer = Client.send(Request);
  if (!Answer)
    return {};
  return {Answer->status, Answer->body,
          Answer->get_header_value("Retry-After")};
}

Got EntryFixture::send(std::string const &Method, std::string const &Path,
                       std::string const &Key) const {
  return ask(TrafficPort, Method, Path, Key);
}

bool EntryFixture::isReady() const {
  return ask(ReadinessPort, "GET", "/laburnumpond/readiness", "").Status_ ==
         200;
}

std::size_t EntryFixture::requestsAtRunner() {
  return on([this] { return Runner_.Requests_.size(); });
}

} // namespace laburnum::entry_process
