#include "EntryProcess.h"

#include <httplib.h>

#include <atomic>
#include <fstream>
#include <stdexcept>
#include <unistd.h>

namespace laburnum::entry_process {

namespace {

constexpr std::uint16_t ReadinessPort = 8365;

std::string nextAttemptId() {
  static std::atomic<std::uint64_t> Last = 0;
  return "attempt-" + std::to_string(++Last);
}

} // namespace

std::string loopbackAddress(unsigned Number) {
  constexpr unsigned FirstNetwork = 66;
  auto const Test = static_cast<unsigned>(getpid());
  return "127." + std::to_string(FirstNetwork + Number) + '.' +
         std::to_string(Test / 250 % 250) + '.' +
         std::to_string(Test % 250 + 1);
}

EntryProcess::EntryProcess(unsigned Number, std::uint16_t StorePort,
                           std::string Program)
    : Program_(std::move(Program)),
      Name_("edge-a-" + std::to_string(Number + 1)),
      Address_(loopbackAddress(Number)), StorePort_(StorePort) {
  auto Template =
      (std::filesystem::temp_directory_path() / "laburnum-entry-XXXXXX")
          .string();
  if (!mkdtemp(Template.data()))
    throw std::runtime_error("no folder for settings");
  Folder_ = Template;
  writeSettings("0.2");
}

EntryProcess::~EntryProcess() {
  Process_.reset();
  std::filesystem::remove_all(Folder_);
}

void EntryProcess::start() {
  launch();
  if (!processes::await([this] { return isReady(); }))
    throw std::runtime_error("the instance does not become ready");
}

void EntryProcess::launch() {
  Process_.reset();
  Process_ = std::make_unique<processes::Process>(
      Program_,
      std::vector<std::string>{"--settings", (Folder_ / "node.conf").string()});
}

void EntryProcess::writeSettings(std::string const &RetryRatio) {
  auto const Store = "127.0.0.1:" + std::to_string(StorePort_);
  std::ofstream File(Folder_ / "node.conf.new");
  File << "node_name=" << Name_ << "\nip=" << Address_
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

void EntryProcess::addSettings(std::string const &Lines) const {
  std::ofstream(Folder_ / "node.conf", std::ios::app) << Lines;
}

Response EntryProcess::sendTo(std::uint16_t Port, std::string const &Method,
                              std::string const &Path, std::string const &Key,
                              Fields const &Additional,
                              std::string const &Body) const {
  httplib::Client Client(Address_, Port);
  Client.set_read_timeout(processes::TestTimeout);
  httplib::Request Request;
  Request.method = Method;
  Request.path = Path;
  Request.body = Body;
  Request.headers = {{"Host", "desk.example"},
                     {"X-Attempt-Id", nextAttemptId()},
                     {"X-Deadline-Ms", "2000"},
                     {"X-Key", Key}};
  for (auto const &[Name, Value] : Additional)
    Request.headers.emplace(Name, Value);
  auto const Answer = Client.send(Request);
  if (!Answer)
    return {};
  return {Answer->status, Answer->body,
          Answer->get_header_value("Retry-After")};
}

Response EntryProcess::send(std::string const &Method, std::string const &Path,
                            std::string const &Key,
                            Fields const &Additional) const {
  return sendTo(TrafficPort, Method, Path, Key, Additional);
}

Response EntryProcess::sendBody(std::string const &Path,
                                std::string const &Body) const {
  return sendTo(TrafficPort, "POST", Path, "k1", {}, Body);
}

bool EntryProcess::isReady() const {
  return sendTo(ReadinessPort, "GET", "/laburnumpond/readiness", "").Status_ ==
         200;
}

} // namespace laburnum::entry_process
