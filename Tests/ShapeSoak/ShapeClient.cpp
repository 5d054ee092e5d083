#include "ShapeClient.h"

#include <asio/connect.hpp>
#include <asio/write.hpp>

#include <array>
#include <poll.h>

namespace laburnum::shape_soak {

using entry_process::EntryProcess;

ShapeClient::ShapeClient(std::string const &Address) {
  constexpr std::chrono::seconds ConnectTime{1};
  asio::error_code Failure = asio::error::timed_out;
  Socket_.async_connect(
      {asio::ip::make_address(Address), EntryProcess::TrafficPort},
      [&](asio::error_code Outcome) { Failure = Outcome; });
  Context_.run_for(ConnectTime);
  if (Failure)
    throw std::system_error(Failure);
  Socket_.non_blocking(false);
}

ShapeClient::~ShapeClient() {
  asio::error_code Ignored;
  Socket_.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket_.close(Ignored);
}

void ShapeClient::send(std::string const &Path,
                       entry_process::Fields const &Fields,
                       std::size_t BodyBytes, Keeps Keeping) {
  Received_.clear();
  auto Text = "POST " + Path +
              " HTTP/1.1\r\nHost: desk.example\r\nX-Key: k1\r\n"
              "Content-Length: " +
              std::to_string(BodyBytes) + "\r\n";
  if (Keeping == Keeps::No)
    Text += "Connection: close\r\n";
  for (auto const &[Name, Value] : Fields)
    Text += Name + ": " + Value + "\r\n";
  asio::write(Socket_,
              asio::buffer(Text + "\r\n" + std::string(BodyBytes, 'b')));
}

bool ShapeClient::readWithin(std::chrono::milliseconds Time) {
  constexpr std::size_t BufferBytes = 4096;
  pollfd Readable{Socket_.native_handle(), POLLIN, 0};
  if (poll(&Readable, 1, static_cast<int>(Time.count())) <= 0)
    return false;
  std::array<char, BufferBytes> Buffer{};
  asio::error_code End;
  auto const Size = Socket_.read_some(asio::buffer(Buffer), End);
  Received_.append(Buffer.data(), Size);
  IsClosed_ = End == asio::error::eof;
  HasEnded_ = static_cast<bool>(End);
  return true;
}

} // namespace laburnum::shape_soak
