// Preloaded into an instance's process by tests: cuts its connections to the
// servers, whose ports LABURNUM_CUT_PORTS names, as the first character of the
// file that LABURNUM_CUT_FILE names says. See Cut in CuttableFleet.h.

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstdlib>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>
#include <vector>

namespace {

constexpr std::size_t MaxDescriptors = 4096;

std::array<std::atomic<bool>, MaxDescriptors> IsToServer;

char mode() {
  static char const *const Path = std::getenv("LABURNUM_CUT_FILE");
  char Mode = 'n';
  if (int const File = Path ? open(Path, O_RDONLY | O_CLOEXEC) : -1;
      File >= 0) {
    if (read(File, &Mode, 1) != 1)
      Mode = 'n';
    close(File);
  }
  return Mode;
}

bool isServerPort(in_port_t Port) {
  static std::vector<in_port_t> const Ports = [] {
    std::vector<in_port_t> Read;
    std::istringstream Text(std::getenv("LABURNUM_CUT_PORTS"));
    for (std::string One; std::getline(Text, One, ',');)
      Read.push_back(static_cast<in_port_t>(std::stoi(One)));
    return Read;
  }();
  return std::find(Ports.begin(), Ports.end(), Port) != Ports.end();
}

template <typename Function> Function next(char const *Name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, Name));
}

bool isCut(int Descriptor, char Mode) {
  return Descriptor >= 0 &&
         static_cast<std::size_t>(Descriptor) < MaxDescriptors &&
         IsToServer[static_cast<std::size_t>(Descriptor)] && mode() == Mode;
}

} // namespace

extern "C" int connect(int Descriptor, sockaddr const *Address,
                       socklen_t Length) {
  static auto const Next = next<decltype(&connect)>("connect");
  bool IsServer = false;
  sockaddr_in Target{};
  if (Address->sa_family == AF_INET) {
    Target = *reinterpret_cast<sockaddr_in const *>(Address);
    IsServer = isServerPort(ntohs(Target.sin_port));
  }
  if (static_cast<std::size_t>(Descriptor) < MaxDescriptors)
    IsToServer[static_cast<std::size_t>(Descriptor)] = IsServer;
  if (IsServer && (mode() == 'r' || mode() == 'f')) {
    errno = ECONNREFUSED;
    return -1;
  }
  if (IsServer && mode() == 'h') {
    // Its queue of connections is full, so it answers no more.
    Target.sin_port = htons(
        static_cast<in_port_t>(std::atoi(std::getenv("LABURNUM_BLACK_HOLE"))));
    return Next(Descriptor, reinterpret_cast<sockaddr *>(&Target),
                sizeof(Target));
  }
  return Next(Descriptor, Address, Length);
}

extern "C" ssize_t sendmsg(int Descriptor, msghdr const *Message, int Flags) {
  static auto const Next = next<decltype(&sendmsg)>("sendmsg");
  if (isCut(Descriptor, 'r')) {
    errno = ECONNRESET;
    return -1;
  }
  if (isCut(Descriptor, 'h')) {
    ssize_t Size = 0;
    for (std::size_t Index = 0; Index < Message->msg_iovlen; ++Index)
      Size += static_cast<ssize_t>(Message->msg_iov[Index].iov_len);
    return Size;
  }
  return Next(Descriptor, Message, Flags);
}

extern "C" ssize_t send(int Descriptor, void const *Bytes, std::size_t Size,
                        int Flags) {
  static auto const Next = next<decltype(&send)>("send");
  if (isCut(Descriptor, 'r')) {
    errno = ECONNRESET;
    return -1;
  }
  if (isCut(Descriptor, 'h'))
    return static_cast<ssize_t>(Size);
  return Next(Descriptor, Bytes, Size, Flags);
}
