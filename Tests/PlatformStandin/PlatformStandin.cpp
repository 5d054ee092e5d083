#include <PlatformStandin/PlatformStandin.h>

namespace laburnum {

namespace {

constexpr int TooManyRequests = 429;
constexpr int ServiceUnavailable = 503;

} // namespace

PlatformStandin::PlatformStandin(StandinOptions const &Options)
    : Cloud_(Options.ListLag_), OnWrite_(Options.OnWrite_),
      Reads_(Options.ReadsPerSecond_), Writes_(Options.WritesPerSecond_),
      Weights_(Options.WeightsPerSecond_) {}

std::unique_ptr<PlatformStandin>
PlatformStandin::start(StandinOptions const &Options) {
  std::unique_ptr<PlatformStandin> Started(new PlatformStandin(Options));
  if (!Started->listen(Options))
    return nullptr;
  return Started;
}

PlatformStandin::~PlatformStandin() {
  if (!Listener_.joinable())
    return;
  Faults_.stop();
  Store_.stop();
  Cloud_.stop();
  Server_.close();
  Listener_.join();
}

bool PlatformStandin::listen(StandinOptions const &Options) {
  Server_.set_tcp_nodelay(true);
  auto const Threads = Options.Threads_;
  Server_.new_task_queue = [Threads] {
    return new httplib::ThreadPool(Threads);
  };
  addRoutes();
  auto Port = static_cast<int>(Options.Port_);
  if (Port == 0)
    Port = Server_.bind_to_any_port(Options.Host_);
  else if (!Server_.bind_to_port(Options.Host_, Port))
    Port = -1;
  if (Port <= 0)
    return false;
  Port_ = static_cast<std::uint16_t>(Port);
  Server_.raiseBacklog();
  Listener_ = std::thread([this] { Server_.listen_after_bind(); });
  // stop() has no effect before the server runs.
  while (!Server_.is_running())
    std::this_thread::yield();
  return true;
}

void PlatformStandin::addRoutes() {
  using Self = PlatformStandin;
  using Counts = StandinCounters;
  Server_.Get("/objects/([^/]+)/(.+)",
              platformCall(&Counts::Gets_, &Reads_, &Self::readObject));
  Server_.Get("/objects/([^/]+)",
              platformCall(&Counts::Lists_, &Reads_, &Self::listObjects));
  Server_.Put("/objects/([^/]+)/(.+)",
              withWriteEvents(
                  platformCall(&Counts::Puts_, &Writes_, &Self::writeObject)));
  Server_.Get("/watch/([^/]+)",
              platformCall(&Counts::Watches_, &Reads_, &Self::watchObjects));
  Server_.Get("/instances", platformCall(&Counts::InstanceLists_, nullptr,
                                         &Self::listInstances));
  Server_.Post("/instances", direct(&Self::registerInstance));
  Server_.Get("/cloud/notices",
              platformCall(&Counts::Notices_, nullptr, &Self::serveNotices));
  Server_.Post("/cloud/start",
               platformCall(&Counts::Starts_, nullptr, &Self::startInstance));
  Server_.Post("/cloud/stop",
               platformCall(&Counts::Stops_, nullptr, &Self::stopInstance));
  Server_.Get("/weights/(.+)",
              platformCall(&Counts::Weights_, &Weights_, &Self::serveWeights));
  Server_.Post("/faults", direct(&Self::switchFault));
  Server_.Post("/reclaims", direct(&Self::reclaimInstance));
  Server_.Get("/counters", direct(&Self::showCounters));
}

httplib::Server::Handler PlatformStandin::platformCall(Counter Kind,
                                                       CallRateLimit *Limit,
                                                       Handler Handle) {
  return [=, this](Request const &HttpRequest, Response &Answer) {
    ++(Counters_.*Kind);
    if (Kind == &StandinCounters::Puts_ && OnWrite_)
      OnWrite_("write arrived");
    Faults_.delayCall();
    if (Faults_.appliesToCall(StandinFault::Outage))
      return refuse(Answer, ServiceUnavailable);
    if (!isWithinRateLimit(Limit))
      return refuse(Answer, TooManyRequests);
    (this->*Handle)(HttpRequest, Answer);
  };
}

httplib::Server::Handler
PlatformStandin::withWriteEvents(httplib::Server::Handler Write) {
  return [=, this](Request const &HttpRequest, Response &Answer) {
    Write(HttpRequest, Answer);
    if (OnWrite_)
      OnWrite_("write over");
  };
}

httplib::Server::Handler PlatformStandin::direct(Handler Handle) {
  return [=, this](Request const &HttpRequest, Response &Answer) {
    (this->*Handle)(HttpRequest, Answer);
  };
}

bool PlatformStandin::isWithinRateLimit(CallRateLimit *Limit) {
  if (!Limit)
    return true;
  auto const Now = readClock();
  std::lock_guard const Lock(LimitsMutex_);
  return Limit->tryTake(Now);
}

void PlatformStandin::refuse(Response &Answer, int Status) {
  ++Counters_.Refused_;
  Answer.status = Status;
  Answer.set_header("Retry-After", "1");
}

} // namespace laburnum
