#pragma once

#include <EngineStandin/EngineCore.h>
#include <EngineStandin/Hosting/HttpHost.h>

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <thread>

namespace laburnum {

/// Serves an EngineCore over the engine HTTP protocol of docs/PROTOCOLS.md, and
/// in addition GET /counts, GET /orders and, between engines, GET /kv/blocks.
class EngineServer {
public:
  EngineServer(EngineSettings Settings, std::size_t Threads);
  ~EngineServer();

  /// Returns the port listened on, or 0 on failure.
  std::uint16_t start(std::uint16_t Port);

  /// Aborts the streams in progress.
  void stop();

  EngineCounts counts();

private:
  struct Stream {
    std::deque<EngineOutput> Outputs_;
    /// One per stream, so that a token does not wake the threads of all other
    /// streams.
    std::condition_variable Ready_;
  };

  void runCore();
  void dispatch(EngineOutput Output);
  void setRoutes();
  void complete(httplib::Request const &Request, httplib::Response &Response);
  bool writeNext(StreamKey const &Key, Stream &Queue, httplib::DataSink &Sink);
  void removeStream(StreamKey const &Key);
  void cancel(httplib::Request const &Request, httplib::Response &Response);
  void load(httplib::Response &Response);
  void events(httplib::Request const &Request, httplib::Response &Response);
  void exportKv(httplib::Request const &Request, httplib::Response &Response);
  void blocks(httplib::Request const &Request, httplib::Response &Response);
  void importKv(httplib::Request const &Request, httplib::Response &Response);
  void order(httplib::Request const &Request, httplib::Response &Response);
  void orders(httplib::Response &Response);
  void answerCounts(httplib::Response &Response);

  EngineSettings const Settings_;
  std::mutex Mutex_;
  std::condition_variable Changed_; ///< Signals new work for the core.
  EngineCore Core_;
  std::map<StreamKey, std::shared_ptr<Stream>> Streams_;
  std::map<std::string, std::vector<std::uint64_t>> Exports_;
  bool IsStopping_ = false;
  HttpHost Host_;
  std::thread CoreThread_;
};

} // namespace laburnum
