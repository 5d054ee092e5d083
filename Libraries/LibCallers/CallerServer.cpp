#include <LibCallers/CallerServer.h>

#include <LibCallers/ElasticTaskQueue.h>
#include <LibCallers/StoppableServer.h>
#include <LibCore/BodyMemory.h>
#include <LibCore/Time.h>

#include <httplib.h>

#include <algorithm>
#include <utility>

namespace laburnum {

namespace {

constexpr char EventStreamType[] = "text/event-stream";
constexpr std::size_t RequestsPerConnection = 1000000;
/// Bytes of memory for each byte of a body, whose buffer doubles as it grows.
constexpr std::size_t BytesForGrowth = 2;
/// Bytes of memory for each byte of a head, if its fields are as short as can
/// be.
constexpr std::size_t BytesForFields = 66;

CallerMessage messageOf(httplib::Request const &Request) {
  CallerMessage Message;
  Message.Method_ = Request.method;
  Message.Target_ = Request.target;
  for (auto const &[Name, Value] : Request.headers)
    Message.Fields_.push_back({Name, Value});
  return Message;
}

void write(HttpAnswer Answer, httplib::Response &Response) {
  Response.status = Answer.Status_;
  for (auto const &Field : Answer.Fields_)
    Response.set_header(Field.Name_, Field.Value_);
  Response.set_content("", Answer.ContentType_);
  // The library would copy it.
  Response.body = std::move(Answer.Body_);
}

/// Writes one item; false ends the stream.
bool writeItem(StreamItem const &Item, ParsedRequest const &Read,
               httplib::DataSink &Sink) {
  auto const Write = [&Sink](std::string const &Text) {
    return Sink.write(Text.data(), Text.size());
  };
  if (auto const *Token = std::get_if<StreamToken>(&Item))
    return Write(tokenEvent(*Token, Read));
  if (auto const *Failure = std::get_if<FailureAnswer>(&Item)) {
    Write(failureEvent(*Failure, Read.Request_.Id_));
    Sink.done();
    return true;
  }
  Write(std::holds_alternative<StreamMoved>(Item) ? movedEvent(Read)
                                                  : endEvent());
  Sink.done();
  return true;
}

void write(StreamAnswer const &Answer, httplib::Response &Response) {
  Response.status = 200;
  Response.set_header("Laburnum-Request-Id", Answer.Read_.Request_.Id_.text());
  Response.set_header("Cache-Control", "no-store");
  auto const Started = std::make_shared<bool>(false);
  Response.set_chunked_content_provider(
      EventStreamType,
      [Answer, Started](std::size_t, httplib::DataSink &Sink) {
        if (*Started)
          return writeItem(Answer.Rest_->pop(), Answer.Read_, Sink);
        *Started = true;
        return writeItem(Answer.First_, Answer.Read_, Sink);
      },
      [Source = Answer.Rest_](bool IsWritten) {
        Source->release(IsWritten ? Delivery::Written : Delivery::Broken);
      });
}

Error errorOfStatus(int Status) {
  constexpr int PayloadTooLarge = 413;
  constexpr int UriTooLong = 414;
  if (Status == PayloadTooLarge)
    return {ErrorKind::InvalidArgument, "the body is too large",
            "send a smaller body; the operators set max_body_bytes"};
  if (Status == UriTooLong)
    return {ErrorKind::InvalidArgument, "the request's target is too long",
            "send a shorter path and query"};
  return {ErrorKind::InvalidArgument, "the request is not valid HTTP/1.1",
          "check the method, the headers and their size (RFC 9112)"};
}

} // namespace

class CallerServer::Implementation {
public:
  Implementation(CallerServerSettings const &Settings, CallerHandler Handler,
                 RefusalWriter Refuse)
      : Settings_(Settings), Handler_(std::move(Handler)),
        Refuse_(std::move(Refuse)),
        BodyMemory_(std::max(Settings_.BodyMemoryBytes_,
                             BytesForGrowth * Settings_.MaxBodyBytes_ +
                                 BytesForFields * Settings_.Head_.MaxBytes_)) {
    setSocketOptions();
    setLimits();
    setRoutes();
    setErrors();
  }

  /// With the library's SO_REUSEPORT a second daemon could bind the same port
  /// and receive half of the connections.
  void setSocketOptions() {
    Server_.set_socket_options([](socket_t Socket) {
      int const IsOn = 1;
      ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &IsOn, sizeof(IsOn));
    });
  }

  void setLimits() {
    Server_.set_tcp_nodelay(true);
    Server_.set_read_timeout(Settings_.ReadTimeout_);
    Server_.setHeadBounds(Settings_.Head_);
    Server_.setMaxUnwritten(Settings_.AnswerMemoryBytes_);
    Server_.set_payload_max_length(Settings_.MaxBodyBytes_);
    Server_.set_keep_alive_timeout(Settings_.KeepAlive_.count());
    Server_.set_keep_alive_max_count(RequestsPerConnection);
    auto const Threads = Settings_.MaxThreads_;
    Server_.new_task_queue = [this, Threads] {
      return new ElasticTaskQueue(Threads, [this] { Server_.makeRoom(); });
    };
  }

  void setRoutes() {
    constexpr char AnyPath[] = ".*";
    auto const WithoutBody = [this](httplib::Request const &Request,
                                    httplib::Response &Response) {
      answer(messageOf(Request), Response);
    };
    auto const WithBody = [this](httplib::Request const &Request,
                                 httplib::Response &Response,
                                 httplib::ContentReader const &Reader) {
      readBodyAndAnswer(Request, Response, Reader);
    };
    Server_.Get(AnyPath, WithoutBody);
    Server_.Options(AnyPath, WithoutBody);
    Server_.Post(AnyPath, WithBody);
    Server_.Put(AnyPath, WithBody);
    Server_.Patch(AnyPath, WithBody);
    Server_.Delete(AnyPath, WithBody);
    // The library uses this handler for a DELETE without a body.
    Server_.Delete(AnyPath, WithoutBody);
  }

  void setErrors() {
    Server_.set_error_handler(
        [this](httplib::Request const &, httplib::Response &Response) {
          if (!Response.body.empty())
            return;
          auto Answer = Refuse_(errorOfStatus(Response.status));
          Answer.Status_ = Response.status;
          write(Answer, Response);
        });
    Server_.set_exception_handler([this](httplib::Request const &,
                                         httplib::Response &Response,
                                         std::exception_ptr const &) {
      write(Refuse_({ErrorKind::Internal, "the request met an internal fault",
                     "send it again; report it if it happens again"}),
            Response);
    });
  }

  /// Reads the body within BodyTimeout_, so that a client that sends its body
  /// slowly cannot occupy the thread.
  void readBodyAndAnswer(httplib::Request const &Request,
                         httplib::Response &Response,
                         httplib::ContentReader const &Reader) {
    auto Message = messageOf(Request);
    // Without either field there is no body (RFC 9112, section 6.3), but the
    // library would read until the connection closes.
    if (!Request.has_header("Content-Length") &&
        !Request.has_header("Transfer-Encoding"))
      return answer(Message, Response);
    auto const Deadline = readClock() + Settings_.BodyTimeout_;
    bool IsInTime = true;
    bool HasRoom = true;
    BodyMemory::Share Room(BodyMemory_);
    auto const IsComplete = Reader([&](char const *Data, std::size_t Size) {
      HasRoom = Room.extend(BytesForGrowth * (Message.Body_.size() + Size));
      if (!HasRoom)
        return false;
      Message.Body_.append(Data, Size);
      IsInTime = readClock() < Deadline;
      return IsInTime && Message.Body_.size() <= Settings_.MaxBodyBytes_;
    });
    if (IsComplete)
      return answer(Message, Response);
    Server_.closeAfterAnswer();
    Response.set_header("Connection", "close");
    if (Message.Body_.size() > Settings_.MaxBodyBytes_ ||
        Response.status == 413)
      return refuse(413, Response);
    if (!HasRoom)
      return write(Refuse_({ErrorKind::ResourceExhausted,
                            "the bodies of all requests take too much memory",
                            "send the request again in a second"}),
                   Response);
    write(Refuse_({ErrorKind::DeadlineExceeded,
                   "the body did not arrive whole in time",
                   "send the body without long pauses"}),
          Response);
  }

  void refuse(int Status, httplib::Response &Response) {
    auto Answer = Refuse_(errorOfStatus(Status));
    Answer.Status_ = Status;
    write(Answer, Response);
  }

  void answer(CallerMessage const &Message, httplib::Response &Response) {
    if (!Server_.beginServing()) {
      Server_.closeAfterAnswer();
      Response.set_header("Connection", "close");
      return write(Refuse_({ErrorKind::ResourceExhausted,
                            "too many connections are open",
                            "send the request again in a second"}),
                   Response);
    }
    auto Answer = Handler_(Message);
    if (auto *const Whole = std::get_if<HttpAnswer>(&Answer)) {
      Server_.beginAnswer(Whole->Body_.size(), readClock());
      return write(std::move(*Whole), Response);
    }
    write(std::get<StreamAnswer>(Answer), Response);
  }

  CallerServerSettings const Settings_;
  CallerHandler const Handler_;
  RefusalWriter const Refuse_;
  BodyMemory BodyMemory_;
  StoppableServer Server_{BodyMemory_};
  Endpoint Endpoint_;
};

CallerServer::CallerServer(std::unique_ptr<Implementation> Created)
    : Implementation_(std::move(Created)) {}

CallerServer::~CallerServer() = default;

Result<std::unique_ptr<CallerServer>>
CallerServer::create(CallerServerSettings const &Settings,
                     CallerHandler Handler, RefusalWriter Refuse) {
  auto Created = std::make_unique<Implementation>(Settings, std::move(Handler),
                                                  std::move(Refuse));
  auto const &Listen = Settings.Listen_;
  auto Port = static_cast<int>(Listen.Port_);
  bool IsBound = false;
  if (Port == 0) {
    Port = Created->Server_.bind_to_any_port(Listen.Host_);
    IsBound = Port > 0;
  } else {
    IsBound = Created->Server_.bind_to_port(Listen.Host_, Port);
  }
  if (!IsBound)
    return Error{ErrorKind::Unavailable,
                 "cannot listen on " + Listen.Host_ + ":" +
                     std::to_string(Listen.Port_),
                 "choose an address of this instance and a port that is free"};
  Created->Server_.enlargeBacklog();
  Created->Endpoint_ = {Listen.Host_, static_cast<std::uint16_t>(Port)};
  return std::unique_ptr<CallerServer>(new CallerServer(std::move(Created)));
}

Endpoint CallerServer::endpoint() const { return Implementation_->Endpoint_; }

void CallerServer::run() { Implementation_->Server_.listen_after_bind(); }

void CallerServer::stop() { Implementation_->Server_.close(); }

} // namespace laburnum
