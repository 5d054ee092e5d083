#include "ScriptedServer.h"

#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <cstdlib>
#include <utility>

namespace laburnum::entry_process {

namespace {

std::string fieldOf(std::string const &Head, std::string const &Name) {
  auto const At = Head.find(Name + ": ");
  if (At == std::string::npos)
    return {};
  auto const Begin = At + Name.size() + 2;
  return Head.substr(Begin, Head.find('\r', Begin) - Begin);
}

} // namespace

ScriptedServer::ScriptedServer(asio::io_context &Context, Script Script,
                               std::uint16_t Port)
    : Acceptor_(Context, {asio::ip::address_v4::loopback(), Port}),
      Shared_(std::make_shared<Shared>(
          Shared{std::move(Script), {}, 0, {}, true, {}})) {
  accept();
}

void ScriptedServer::stopListening() {
  Shared_->IsListening_ = false;
  Acceptor_.close();
}

void ScriptedServer::resetConnections() {
  for (auto const &Weak : std::exchange(Shared_->Peers_, {}))
    if (auto const Open = Weak.lock())
      Open->reset();
}

void ScriptedServer::closeConnections() {
  for (auto const &Weak : std::exchange(Shared_->Peers_, {}))
    if (auto const Open = Weak.lock())
      Open->close();
}

Endpoint ScriptedServer::endpoint() const {
  return {"127.0.0.1", Acceptor_.local_endpoint().port()};
}

void ScriptedServer::accept() {
  Acceptor_.async_accept([this,
                          Shared = Shared_](asio::error_code Failure,
                                            asio::ip::tcp::socket Socket) {
    // The server may have stopped after the connection was accepted, and may be
    // gone by now.
    if (Failure || !Shared->IsListening_)
      return;
    auto const Accepted = std::make_shared<Peer>(std::move(Socket), Shared_);
    Shared_->Peers_.push_back(Accepted);
    Accepted->limitIdleTime();
    Accepted->read();
    accept();
  });
}

void ScriptedServer::Peer::read() {
  asio::async_read_until(
      Socket_, asio::dynamic_buffer(Received_), "\r\n\r\n",
      [Self = shared_from_this()](asio::error_code Failure, std::size_t Size) {
        if (Failure)
          return;
        Self->IdleTimer_.cancel();
        Self->Head_ = Self->Received_.substr(0, Size);
        Self->Received_.erase(0, Size);
        Self->readBody();
      });
}

void ScriptedServer::Peer::readBody() {
  auto const Length =
      std::strtoull(field("Content-Length").c_str(), nullptr, 10);
  if (Received_.size() >= Length) {
    Received_.erase(0, Length);
    return answer();
  }
  asio::async_read(Socket_, asio::dynamic_buffer(Received_),
                   asio::transfer_exactly(Length - Received_.size()),
                   [Self = shared_from_this(), Length](asio::error_code Failure,
                                                       std::size_t) {
                     if (Failure)
                       return;
                     Self->Received_.erase(0, Length);
                     Self->answer();
                   });
}

void ScriptedServer::Peer::answer() {
  if (answerReport()) {
    limitIdleTime();
    return read();
  }
  Shared_->Script_(*this, field("X-Attempt-Id"), ++Shared_->Requests_);
  if (Socket_.is_open())
    read();
}

void ScriptedServer::Peer::limitIdleTime() {
  if (Shared_->IdleTime_.count() == 0)
    return;
  IdleTimer_.expires_after(Shared_->IdleTime_);
  IdleTimer_.async_wait([Self = shared_from_this()](asio::error_code Failure) {
    if (!Failure)
      Self->close();
  });
}

bool ScriptedServer::Peer::answerReport() {
  if (!Head_.starts_with("GET /laburnumpond/report "))
    return false;
  auto const &Report = Shared_->Report_;
  write(std::string("HTTP/1.1 ") + (Report.empty() ? "404" : "200") +
        " -\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(Report.size()) + "\r\nKeep-Alive: timeout=5\r\n\r\n" +
        Report);
  return true;
}

std::string ScriptedServer::Peer::path() const {
  auto const Begin = Head_.find(' ') + 1;
  return Head_.substr(Begin, Head_.find(' ', Begin) - Begin);
}

std::string ScriptedServer::Peer::field(std::string const &Name) const {
  return fieldOf(Head_, Name);
}

void ScriptedServer::Peer::write(std::string const &Bytes) {
  asio::error_code Ignored;
  asio::write(Socket_, asio::buffer(Bytes), Ignored);
}

void ScriptedServer::Peer::writeLater(std::string const &Bytes,
                                      std::function<void()> Done) {
  asio::async_write(Socket_, asio::buffer(Bytes),
                    [Self = shared_from_this(), Done = std::move(Done)](
                        asio::error_code Failure, std::size_t) {
                      if (!Failure)
                        Done();
                    });
}

void ScriptedServer::Peer::close() {
  asio::error_code Ignored;
  Socket_.shutdown(asio::ip::tcp::socket::shutdown_both, Ignored);
  Socket_.close(Ignored);
}

void ScriptedServer::Peer::reset() {
  asio::error_code Ignored;
  Socket_.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket_.close(Ignored);
}

} // namespace laburnum::entry_process
