#pragma once

#include "AnswerRecorder.h"
#include "RawServer.h"

#include <LibHttp/OutboundPool.h>

#include <memory>
#include <string>

namespace laburnum::test {

/// A pool of connections to a raw server.
struct OutboundFixture {
  std::shared_ptr<AnswerRecorder> send() {
    auto const Observer = std::make_shared<AnswerRecorder>();
    OutboundRequest Request;
    Request.Head_ = {"GET", "/", {}};
    Call_ = Pool_->start(Request, Observer);
    return Observer;
  }
  /// Sends a request and answers it on the newest connection.
  std::shared_ptr<AnswerRecorder> exchange(std::string const &Answer) {
    auto Observer = send();
    await(1);
    Server_.Peers_.back()->write(Answer);
    runUntil(Context_, [&] { return Observer->isOver(); });
    return Observer;
  }
  /// Waits until the newest connection has received this number of requests.
  void await(std::size_t Requests) {
    runUntil(Context_, [&] {
      if (Server_.Peers_.empty())
        return false;
      auto const &Bytes = Server_.Peers_.back()->Received_;
      std::size_t Count = 0;
      for (auto At = Bytes.find("GET "); At != std::string::npos;
           At = Bytes.find("GET ", At + 1))
        ++Count;
      return Count >= Requests;
    });
  }

  asio::io_context Context_;
  RawServer Server_{Context_};
  std::shared_ptr<OutboundPool> Pool_ =
      std::make_shared<OutboundPool>(Context_, Server_.endpoint());
  std::shared_ptr<OutboundCall> Call_;
};

constexpr char const *Plain =
    "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok";

} // namespace laburnum::test
