#include "SmallMachine.h"

#include "ProcessUsage.h"

#include <EntryProcess/StandinRecords.h>
#include <LibCore/Time.h>

#include <catch2/catch.hpp>
#include <httplib.h>

#include <algorithm>
#include <sstream>
#include <string>
#include <utility>
#include <variant>

namespace laburnum::hostile_clients {

using namespace entry_process;

namespace {

constexpr std::uint16_t MetricsPort = 9464;
/// Longer than any of these tests, so that stopped bodies stay open.
constexpr int TimeoutMilliseconds = 120000;

nlohmann::json configuration(MachineShape const &Shape) {
  auto Made = configurationJson(1);
  Made["limits"] = {{"max_header_bytes", 16384},
                    {"max_body_bytes", SmallMachine::MaxBody},
                    {"header_timeout_ms", TimeoutMilliseconds},
                    {"idle_timeout_ms", TimeoutMilliseconds}};
  // A stream that has no origin to be recorded first.
  auto Flow = Made["routes"][0];
  Flow["name"] = Flow["path_prefix"] = "/flow/";
  Flow["route_kind"] = "streaming";
  Made["routes"].push_back(std::move(Flow));
  for (auto &Route : Made["routes"]) {
    Route["timeout_ms"] = Shape.RouteTimeoutMilliseconds_;
    Route["target_latency_ms"] = Shape.TargetLatencyMilliseconds_;
  }
  return Made;
}

} // namespace

SmallMachine::SmallMachine(MachineShape Shape,
                           std::unique_ptr<HttpService> Server)
    : Shape_(Shape), Server_(std::move(Server)) {
  Thread_.on([this] {
    StoreListener_ = std::get<0>(
        HttpListener::create(Thread_.context(), {"127.0.0.1", 0}, Store_));
    ServerListener_ = std::get<0>(
        HttpListener::create(Thread_.context(), {"127.0.0.1", 0}, *Server_));
    Store_.put("config", "main", configuration(Shape_));
    auto Record =
        serverJson(ServerListener_->localEndpoint(), "ready", 1700000000000, 1);
    Record["slots"] = Shape_.Slots_;
    Store_.put("servers", "i-1", std::move(Record));
  });
  Instance_ =
      std::make_unique<EntryProcess>(0, StoreListener_->localEndpoint().Port_);
  Instance_->addSettings("limits.memory_mb=" + std::to_string(MemoryMegabytes) +
                         "\nlimits.file_descriptors=" +
                         std::to_string(Shape_.Descriptors_) + '\n');
  Instance_->start();
}

SmallMachine::~SmallMachine() {
  Instance_.reset();
  Thread_.on([this] {
    StoreListener_->stopAccepting();
    ServerListener_->stopAccepting();
  });
  Thread_.stop();
}

std::size_t
SmallMachine::countRequests(std::vector<std::string> const &Outcomes) const {
  httplib::Client Client(Instance_->address(), MetricsPort);
  auto const Page = Client.Get("/metrics");
  if (!Page)
    return 0;
  std::size_t Sum = 0;
  std::istringstream Lines(Page->body);
  for (std::string Line; std::getline(Lines, Line);) {
    std::istringstream Words(Line);
    std::string Name;
    std::size_t Value = 0;
    Words >> Name >> Value;
    for (auto const &Outcome : Outcomes)
      if (Name == "laburnum_requests_" + Outcome + "_total")
        Sum += Value;
  }
  return Sum;
}

std::size_t SmallMachine::settledRequests() const {
  return countRequests({"answered", "refused", "failed", "aborted",
                        "client_left", "given_up", "rejected", "unroutable"});
}

std::size_t SmallMachine::givenUpRequests() const {
  return countRequests({"given_up"});
}

void SmallMachine::check() {
  auto const Process = Instance_->process().id();
  std::size_t MostDescriptors = 0;
  bool HasReadAll = false;
  // An answer shows that the process goes on reading.
  for (auto const End = readClock() + processes::TestTimeout;
       !HasReadAll && readClock() < End;) {
    REQUIRE_FALSE(Instance_->process().hasEnded());
    MostDescriptors = std::max(MostDescriptors, openDescriptors(Process));
    Instance_->isReady();
    HasReadAll = leftInKernel(traffic()) == 0;
  }
  CHECK(HasReadAll);
  CHECK(peakMemory(Process) <= Memory);
  CHECK(MostDescriptors <= Shape_.Descriptors_);
  CHECK(Instance_->send("GET", "/read/1").Status_ == 200);
}

} // namespace laburnum::hostile_clients
