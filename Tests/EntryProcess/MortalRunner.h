#pragma once

#include "StoreStandin.h"

#include <LibHttp/HttpListener.h>

#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace laburnum::entry_process {

struct MortalTimes {
  Duration Downtime_{}; ///< From a server's end to its next life.
  Duration Work_{};     ///< Until a sound request is answered.
};

/// A backend server whose process ends when it begins a request for a path
/// with "deadly" in it. It starts again after a while: same address, another
/// identifier. Used on the thread of its io_context.
class MortalRunner : public HttpService {
public:
  MortalRunner(asio::io_context &Context, StoreStandin &Store, unsigned Number,
               MortalTimes Times);

  /// Told the attempt identifier of each request that begins to run.
  using RunListener = std::function<void(std::string const &)>;
  void setRunListener(RunListener Listener) { Began_ = std::move(Listener); }

  /// Listens and registers in the store.
  void begin();
  void stop();
  /// The process ends, with all that runs there.
  void end();

  ClientBounds bounds() const override { return {}; }
  void onRequest(std::shared_ptr<Exchange> Exchange,
                 ReceivedRequest Request) override;

  /// What it answers to a sound request.
  static std::string answerTo(std::string_view AttemptId);
  bool isDown() const { return !Listener_; }
  std::size_t lives() const { return Lives_; }
  /// Deadly requests that reached a life of this server.
  std::size_t deadly() const { return Deadly_; }

private:
  std::string id() const { return Name_ + '-' + std::to_string(Lives_); }
  void work(std::shared_ptr<Exchange> const &Exchange, AnswerHead const &Head);

  asio::io_context &Context_;
  StoreStandin &Store_;
  std::string const Name_;
  MortalTimes const Times_;
  Endpoint const Address_;
  asio::steady_timer Rebirth_;
  std::shared_ptr<HttpListener> Listener_;
  std::size_t Lives_ = 0;
  std::size_t Deadly_ = 0;
  std::set<std::shared_ptr<Exchange>> Running_;
  RunListener Began_;
};

} // namespace laburnum::entry_process
