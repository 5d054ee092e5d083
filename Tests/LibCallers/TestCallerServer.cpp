#include <LibCallers/CallerServer.h>
#include <LibCallers/TokenPipe.h>

#include <catch2/catch.hpp>
#include <httplib.h>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <list>
#include <thread>

using namespace laburnum;

namespace {

constexpr std::size_t BodyLimit = 64;
constexpr std::size_t HeadLimit = 1024;

/// Runs a CallerServer with the handler on a thread.
class RunningServer {
public:
  explicit RunningServer(CallerHandler Handler) {
    CallerServerSettings Settings;
    Settings.Listen_ = {"127.0.0.1", 0};
    Settings.MaxThreads_ = 4;
    Settings.MaxBodyBytes_ = BodyLimit;
    Settings.ReadTimeout_ = std::chrono::seconds(1);
    Settings.Head_ = {HeadLimit, std::chrono::seconds(1)};
    Settings.KeepAlive_ = std::chrono::hours(1);
    auto Created = CallerServer::create(
        Settings, std::move(Handler), [](Error const &Failure) {
          return refusalOf(Failure, RequestId("r"));
        });
    REQUIRE_FALSE(isError(Created));
    Server_ = takeValue(std::move(Created));
    Thread_ = std::thread([this] { Server_->run(); });
  }

  ~RunningServer() { stop(); }

  void stop() {
    Server_->stop();
    if (Thread_.joinable())
      Thread_.join();
  }

  httplib::Client client() const {
    httplib::Client Client("127.0.0.1", Server_->endpoint().Port_);
    Client.set_tcp_nodelay(true);
    return Client;
  }

  int connect() const {
    auto const Socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Server_->endpoint().Port_);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::connect(Socket, reinterpret_cast<sockaddr *>(&Address),
                      sizeof(Address)) == 0);
    return Socket;
  }

  static void send(int Socket, std::string const &Sent) {
    REQUIRE(::send(Socket, Sent.data(), Sent.size(), 0) ==
            static_cast<ssize_t>(Sent.size()));
  }

  /// Reads until the text ends with End, or until the server ends the
  /// connection.
  static std::string readTo(std::string const &End, int Socket) {
    std::string Answer;
    char Buffer[256];
    while (End.empty() || !Answer.ends_with(End)) {
      auto const Read = ::recv(Socket, Buffer, sizeof(Buffer), 0);
      if (Read <= 0)
        break;
      Answer.append(Buffer, static_cast<std::size_t>(Read));
    }
    return Answer;
  }

  /// Sends the raw text and reads until the server closes the connection.
  std::string exchange(std::string const &Sent) const {
    auto const Socket = connect();
    send(Socket, Sent);
    auto Answer = readTo("", Socket);
    ::close(Socket);
    return Answer;
  }

private:
  std::unique_ptr<CallerServer> Server_;
  std::thread Thread_;
};

CallerAnswer echo(CallerMessage const &Message) {
  return HttpAnswer{200, "text/plain", Message.Method_ + Message.Body_, {}};
}

} // namespace

TEST_CASE("Every method reaches the handler, with or without a body") {
  RunningServer const Server(echo);
  auto Client = Server.client();
  CHECK(Client.Get("/x")->body == "GET");
  CHECK(Client.Post("/x", "a", "text/plain")->body == "POSTa");
  CHECK(Client.Post("/x")->body == "POST");
  CHECK(Client.Put("/x", "b", "text/plain")->body == "PUTb");
  CHECK(Client.Patch("/x", "c", "text/plain")->body == "PATCHc");
  CHECK(Client.Delete("/x")->body == "DELETE");
}

TEST_CASE("A body that is too large is refused with a typed error") {
  RunningServer const Server(echo);
  auto Client = Server.client();
  auto const Answer =
      Client.Post("/x", std::string(BodyLimit + 1, 'a'), "text/plain");
  REQUIRE(Answer);
  CHECK(Answer->status == 413);
  CHECK(Answer->body.find("invalid_argument") != std::string::npos);
}

TEST_CASE("An unknown method is refused with a typed error") {
  RunningServer const Server(echo);
  auto Client = Server.client();
  httplib::Request Request;
  Request.method = "FROB";
  Request.path = "/x";
  auto const Answer = Client.send(Request);
  REQUIRE(Answer);
  CHECK(Answer->status == 400);
  CHECK(Answer->body.find("invalid_argument") != std::string::npos);
}

TEST_CASE("A handler that throws yields an internal error") {
  RunningServer const Server([](CallerMessage const &) -> CallerAnswer {
    throw std::runtime_error("fault");
  });
  auto const Answer = Server.client().Get("/x");
  REQUIRE(Answer);
  CHECK(Answer->status == 500);
}

TEST_CASE("A stream carries its tokens by offset and ends with [DONE]") {
  RunningServer const Server([](CallerMessage const &) -> CallerAnswer {
    auto const Pipe = std::make_shared<TokenPipe>(4);
    Pipe->push(StreamToken{1, "two"});
    Pipe->push(StreamComplete{});
    ParsedRequest Read;
    Read.Form_ = {ServiceKind::Model, CompletionStyle::Text, Streaming::Yes};
    return StreamAnswer{Read, StreamToken{0, "one"}, Pipe};
  });
  auto const Answer = Server.client().Get("/x");
  REQUIRE(Answer);
  auto const &Body = Answer->body;
  auto const First = Body.find("id: 0\ndata: ");
  auto const Second = Body.find("id: 1\ndata: ");
  CHECK(First < Second);
  CHECK(Body.ends_with("data: [DONE]\n\n"));
}

TEST_CASE("A stream that fails ends with an error event and no [DONE]") {
  RunningServer const Server([](CallerMessage const &) -> CallerAnswer {
    auto const Pipe = std::make_shared<TokenPipe>(4);
    Pipe->push(FailureAnswer{{ErrorKind::Unavailable, "gone", "again"},
                             RunState::Ran,
                             std::nullopt});
    return StreamAnswer{ParsedRequest{}, StreamToken{0, "one"}, Pipe};
  });
  auto const Answer = Server.client().Get("/x");
  REQUIRE(Answer);
  CHECK(Answer->body.find("event: error\n") != std::string::npos);
  CHECK(Answer->body.find("[DONE]") == std::string::npos);
}

TEST_CASE("A moved stream ends with the key and without [DONE]") {
  RunningServer const Server([](CallerMessage const &) -> CallerAnswer {
    auto const Pipe = std::make_shared<TokenPipe>(4);
    Pipe->push(StreamMoved{});
    ParsedRequest Read;
    Read.Request_.Id_ = RequestId("r1");
    return StreamAnswer{Read, StreamToken{0, "one", 0xab}, Pipe};
  });
  auto const Answer = Server.client().Get("/x");
  REQUIRE(Answer);
  CHECK(Answer->body.find("id: 0-ab\n") != std::string::npos);
  CHECK(Answer->body.ends_with(
      "event: moved\ndata: {\"idempotency_key\":\"r1\"}\n\n"));
}

TEST_CASE("A stop ends idle connections and lets a request in progress end") {
  std::promise<void> Entered;
  std::promise<void> MayEnd;
  RunningServer Server([&](CallerMessage const &Message) -> CallerAnswer {
    if (Message.Target_ == "/slow") {
      Entered.set_value();
      MayEnd.get_future().wait();
    }
    return echo(Message);
  });
  auto Idle = Server.client();
  Idle.set_keep_alive(true);
  REQUIRE(Idle.Get("/x"));
  auto Slow = std::async(std::launch::async,
                         [&] { return Server.client().Get("/slow"); });
  Entered.get_future().wait();
  // The server closes the idle connection while the other request is running.
  std::thread Stopping([&] { Server.stop(); });
  auto const Socket = static_cast<int>(Idle.socket());
  pollfd Closed{Socket, POLLIN, 0};
  CHECK(::poll(&Closed, 1, -1) == 1);
  char Byte = 0;
  CHECK(::recv(Socket, &Byte, 1, 0) == 0);
  MayEnd.set_value();
  auto const Answer = Slow.get();
  Stopping.join();
  REQUIRE(Answer);
  CHECK(Answer->body == "GET");
}

TEST_CASE("A stop answers a request that it finds unread") {
  // Whether the connection's thread has seen the request is left to chance.
  for (int Play = 0; Play < 300; ++Play) {
    RunningServer Server(echo);
    auto const Caller = Server.connect();
    RunningServer::send(Caller, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(RunningServer::readTo("GET", Caller).ends_with("GET"));
    RunningServer::send(Caller, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    Server.stop();
    CHECK(RunningServer::readTo("GET", Caller).ends_with("GET"));
    ::close(Caller);
  }
}

TEST_CASE("Idle connections that hold all threads are closed for others, and "
          "requests in progress are not") {
  std::promise<void> Entered;
  std::promise<void> MayEnd;
  RunningServer const Server([&](CallerMessage const &Message) -> CallerAnswer {
    if (Message.Target_ == "/held") {
      Entered.set_value();
      MayEnd.get_future().wait();
    }
    return echo(Message);
  });
  auto Held = std::async(std::launch::async, [&] {
    auto const Answer = Server.client().Get("/held");
    return Answer ? Answer->status : 0;
  });
  Entered.get_future().wait();
  std::list<httplib::Client> Idle;
  for (int Number = 0; Number < 8; ++Number) {
    Idle.push_back(Server.client());
    Idle.back().set_keep_alive(true);
    auto const Answer = Idle.back().Get("/x");
    CHECK((Answer && Answer->status == 200));
  }
  MayEnd.set_value();
  CHECK(Held.get() == 200);
}

TEST_CASE("A request without body and length is served") {
  auto const *Method = GENERATE("PUT", "POST", "PATCH", "DELETE");
  RunningServer const Server(echo);
  CHECK(Server
            .exchange(std::string(Method) +
                      " /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            .starts_with("HTTP/1.1 200"));
}

TEST_CASE("A head with too many fields is refused and its connection closed") {
  RunningServer const Server(echo);
  std::string Head = "GET /x HTTP/1.1\r\nHost: x\r\n";
  while (Head.size() < 2 * HeadLimit)
    Head += "X-Field: value\r\n";
  auto const Answer = Server.exchange(Head + "\r\n");
  // The unread rest of the head may cause a reset before the answer is read.
  CHECK((Answer.empty() || Answer.starts_with("HTTP/1.1 400")));
}

TEST_CASE("An incomplete head times out") {
  RunningServer const Server(echo);
  auto const Answer = Server.exchange("GET /x HTTP/1.1\r\nX-Field: value\r\n");
  CHECK((Answer.empty() || Answer.starts_with("HTTP/1.1 400")));
}

TEST_CASE("A body announced as too large is refused before it is sent") {
  RunningServer const Server(echo);
  auto const Answer = Server.exchange(
      "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n");
  CHECK(Answer.starts_with("HTTP/1.1 413"));
}

TEST_CASE("A line between chunks is limited like the head, so that it cannot "
          "take up the memory") {
  RunningServer const Server(echo);
  auto const Exchange = [&](std::size_t LineBytes) {
    return Server.exchange("POST /x HTTP/1.1\r\nHost: x\r\n"
                           "Connection: close\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n4;" +
                           std::string(LineBytes - 4, 'x') +
                           "\r\nbody\r\n0\r\n\r\n");
  };
  CHECK(Exchange(HeadLimit).ends_with("POSTbody"));
  auto const Answer = Exchange(2 * HeadLimit);
  // The unread rest of the body may cause a reset before the answer is read.
  CHECK((Answer.empty() || Answer.starts_with("HTTP/1.1 504")));
}

TEST_CASE("What follows in a chunked body that was refused is not a request") {
  std::atomic<int> Calls = 0;
  RunningServer const Server([&](CallerMessage const &Message) {
    ++Calls;
    return echo(Message);
  });
  auto const Answer = Server.exchange(
      "POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "80\r\n" +
      std::string(2 * BodyLimit, 'x') +
      "\r\n40\r\nGET /y HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  CHECK((Answer.empty() || Answer.starts_with("HTTP/1.1 413")));
  CHECK(Calls == 0);
}

TEST_CASE("A request without a body length keeps its connection open") {
  RunningServer const Server(echo);
  auto const Answer =
      Server.exchange("PUT /x HTTP/1.1\r\nHost: x\r\n\r\n"
                      "GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                      "\r\n");
  CHECK(Answer.find("PUT") != std::string::npos);
  CHECK(Answer.ends_with("GET"));
}
