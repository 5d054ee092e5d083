#include <ServiceStandin/ServiceServer.h>

#include <nlohmann/json.hpp>
#include <optional>

namespace laburnum {

using nlohmann::json;

ServiceServer::ServiceServer(std::size_t Threads) : Host_(Threads) {
  setRoutes();
}

ServiceServer::~ServiceServer() { stop(); }

std::uint16_t ServiceServer::start(std::uint16_t Port) {
  return Host_.start(Port);
}

void ServiceServer::stop() {
  {
    std::lock_guard const Lock(Mutex_);
    IsStopping_ = true;
  }
  Stopping_.notify_all();
  Host_.stop();
}

void ServiceServer::setFault(FaultPlan Plan) {
  std::lock_guard const Lock(Mutex_);
  Fault_ = Plan;
}

ServiceCounts ServiceServer::counts() {
  std::lock_guard const Lock(Mutex_);
  return Counts_;
}

void ServiceServer::setRoutes() {
  using httplib::Request;
  using httplib::Response;
  auto &Routes = Host_.server();
  Routes.Get("/counts",
             [this](Request const &, Response &Out) { answerCounts(Out); });
  Routes.Post("/faults", [this](Request const &In, Response &Out) {
    handleFaultRequest(In, Out);
  });
  auto const Serve = [this](Request const &In, Response &Out) {
    serve(In, Out);
  };
  Routes.Get(".*", Serve);
  Routes.Post(".*", Serve);
  Routes.Put(".*", Serve);
  Routes.Patch(".*", Serve);
  Routes.Delete(".*", Serve);
  Routes.Options(".*", Serve);
}

FaultPlan ServiceServer::takeFault() {
  std::lock_guard const Lock(Mutex_);
  if (Fault_.Count_ == 0)
    return {};
  --Fault_.Count_;
  return Fault_;
}

std::string ServiceServer::run(httplib::Request const &Request) {
  std::lock_guard const Lock(Mutex_);
  auto const Key = Request.get_header_value("Idempotency-Key");
  ++Counts_.Runs_;
  ++Counts_.ByPath_[Request.path];
  if (!Key.empty())
    ++Counts_.ByKey_[Key];
  json const Body = {{"path", Request.path},
                     {"target", Request.target},
                     {"method", Request.method},
                     {"run", Counts_.Runs_},
                     {"key", Key}};
  return Body.dump();
}

void ServiceServer::wait(Duration Delay) {
  std::unique_lock Lock(Mutex_);
  Stopping_.wait_for(Lock, Delay, [this] { return IsStopping_; });
}

static void refuse(httplib::Response &Response) {
  Response.status = 503;
  Response.set_header("Laburnum-Refused", "yes");
  Response.set_content(R"({"error":"refused before any work"})",
                       "application/json");
}

static void answerHalf(httplib::Response &Response, std::string const &Body) {
  Response.set_content_provider(
      Body.size(), "application/json",
      [Body](std::size_t, std::size_t, httplib::DataSink &Sink) {
        Sink.write(Body.data(), Body.size() / 2);
        AbortableServer::abortConnection();
        return false;
      });
}

namespace {

/// Counts a call as running during its lifetime.
class RunningCall {
public:
  explicit RunningCall(std::atomic<std::uint32_t> &Count)
      : Count_(Count), Running_(++Count) {}
  ~RunningCall() { --Count_; }
  RunningCall(RunningCall const &) = delete;
  RunningCall &operator=(RunningCall const &) = delete;

  std::string loadHeader() const {
    return "running=" + std::to_string(Running_) + " queued=0";
  }

private:
  std::atomic<std::uint32_t> &Count_;
  std::uint32_t const Running_;
};

} // namespace

void ServiceServer::serve(httplib::Request const &Request,
                          httplib::Response &Response) {
  RunningCall const Running(Running_);
  Response.set_header("Laburnum-Load", Running.loadHeader());
  auto const Fault = takeFault();
  if (Fault.Kind_ == ServiceFault::ResetBeforeRun)
    return AbortableServer::abortConnection();
  if (Fault.Kind_ == ServiceFault::Refuse)
    return refuse(Response);
  auto const Body = run(Request);
  if (OnRun_)
    OnRun_();
  if (Fault.Kind_ == ServiceFault::ResetAfterRun)
    return AbortableServer::abortConnection();
  if (Fault.Kind_ == ServiceFault::PartialAnswer)
    return answerHalf(Response, Body);
  if (Fault.Kind_ == ServiceFault::Slow)
    wait(Fault.Delay_);
  Response.set_content(Body, "application/json");
}

static std::optional<ServiceFault> faultOf(std::string const &Name) {
  static std::map<std::string, ServiceFault> const Names = {
      {"reset_before_run", ServiceFault::ResetBeforeRun},
      {"reset_after_run", ServiceFault::ResetAfterRun},
      {"refuse", ServiceFault::Refuse},
      {"slow", ServiceFault::Slow},
      {"partial_answer", ServiceFault::PartialAnswer}};
  auto const Found = Names.find(Name);
  if (Found == Names.end())
    return std::nullopt;
  return Found->second;
}

static std::optional<FaultPlan> planOf(std::string const &Text) {
  auto const Body = json::parse(Text, nullptr, false);
  if (!Body.is_object())
    return std::nullopt;
  try {
    auto const Kind = faultOf(Body.at("kind").get<std::string>());
    if (!Kind)
      return std::nullopt;
    std::chrono::milliseconds const Delay(Body.value("delay_ms", 0U));
    return FaultPlan{*Kind, Body.value("count", 1U), Delay};
  } catch (json::exception const &) {
    return std::nullopt;
  }
}

void ServiceServer::handleFaultRequest(httplib::Request const &Request,
                                       httplib::Response &Response) {
  auto const Plan = planOf(Request.body);
  if (!Plan) {
    Response.status = 400;
    Response.set_content(R"({"error":"unknown fault"})", "application/json");
    return;
  }
  setFault(*Plan);
  Response.set_content("{}", "application/json");
}

void ServiceServer::answerCounts(httplib::Response &Response) {
  auto const Counts = counts();
  json const Body = {{"runs", Counts.Runs_},
                     {"by_key", Counts.ByKey_},
                     {"by_path", Counts.ByPath_}};
  Response.set_content(Body.dump(), "application/json");
}

} // namespace laburnum
