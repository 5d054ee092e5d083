#include "ProcessUsage.h"

#include <asio/ip/address_v4.hpp>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

namespace laburnum::hostile_clients {

namespace {

std::string processFolder(pid_t Process) {
  return "/proc/" + std::to_string(Process);
}

/// Returns the endpoint as /proc/net/tcp writes it: the address's bytes from
/// the last to the first, and the port, in hexadecimal.
std::string inTable(Endpoint const &Address) {
  auto const Bytes = asio::ip::make_address_v4(Address.Host_).to_bytes();
  std::array<char, 16> Text{};
  std::snprintf(Text.data(), Text.size(), "%02X%02X%02X%02X:%04X", Bytes[3],
                Bytes[2], Bytes[1], Bytes[0], Address.Port_);
  return Text.data();
}

} // namespace

std::size_t leftInKernel(Endpoint const &Address) {
  auto const Local = inTable(Address);
  std::size_t Left = 0;
  std::ifstream File("/proc/net/tcp");
  for (std::string Line; std::getline(File, Line);) {
    std::istringstream Fields(Line);
    std::string Number;
    std::string From;
    std::string To;
    std::string State;
    std::string Queues;
    Fields >> Number >> From >> To >> State >> Queues;
    if (From == Local)
      Left += std::strtoull(Queues.substr(Queues.find(':') + 1).c_str(),
                            nullptr, 16);
  }
  return Left;
}

std::size_t peakMemory(pid_t Process) {
  constexpr std::size_t BytesPerKilobyte = 1024;
  std::ifstream File(processFolder(Process) + "/status");
  for (std::string Name; File >> Name;)
    if (Name == "VmHWM:") {
      std::size_t Kilobytes = 0;
      File >> Kilobytes;
      return Kilobytes * BytesPerKilobyte;
    }
  return 0;
}

std::size_t openDescriptors(pid_t Process) {
  std::filesystem::directory_iterator const Open(processFolder(Process) +
                                                 "/fd");
  return static_cast<std::size_t>(std::distance(begin(Open), end(Open)));
}

} // namespace laburnum::hostile_clients
