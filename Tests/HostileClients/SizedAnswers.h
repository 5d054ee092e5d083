#pragma once

#include <LibHttp/HttpListener.h>

#include <cstdlib>
#include <memory>
#include <string>

namespace laburnum::hostile_clients {

/// Stand-in for a backend server whose answers are as long as the number at the
/// end of the request's path says. Answers to /flow/ are streams; those to
/// /flow/drops/ have very small events.
class SizedAnswers : public HttpService {
public:
  ClientBounds bounds() const override { return {}; }
  void onRequest(std::shared_ptr<Exchange> Exchange,
                 ReceivedRequest Request) override {
    AnswerHead Head{200, {}};
    Head.Fields_.add("X-Attempt-Id", std::string(Request.Head_.Fields_.valueOr(
                                         "X-Attempt-Id")));
    Head.Fields_.add("X-Server-Stamp", "stamp");
    Head.Fields_.add("X-Instance-Load", "1,0,256");
    auto const &Path = Request.Head_.Target_;
    auto const Bytes =
        std::strtoull(Path.c_str() + Path.rfind('/') + 1, nullptr, 10);
    if (Path.find("/flow/") != 0)
      return Exchange->answer(Head, std::string(Bytes, 'x'));
    Head.Fields_.add("Content-Type", "text/event-stream");
    Exchange->beginStream(Head);
    auto const &Piece =
        Path.find("/flow/drops/") == 0 ? smallEvents() : event();
    for (std::size_t Sent = 0; Sent < Bytes; Sent += Piece.size())
      Exchange->send(Piece);
    Exchange->finishStream();
  }

  static std::string const &event() {
    constexpr std::size_t DataBytes = 1000;
    static std::string const Event =
        "data: " + std::string(DataBytes, 'x') + "\n\n";
    return Event;
  }

  /// Many events that are sent together.
  static std::string const &smallEvents() {
    static std::string const Events = [] {
      constexpr int Count = 100;
      std::string Text;
      for (int Number = 0; Number < Count; ++Number)
        Text += "data:x\n\n";
      return Text;
    }();
    return Events;
  }
};

} // namespace laburnum::hostile_clients
