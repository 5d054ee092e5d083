// Linked into cuttable-entry, a build of laburnum-entry for tests: cuts its
// connections to the servers, whose ports LABURNUM_CUT_PORTS names, as the
// first character of the file that LABURNUM_CUT_FILE names says. See Cut in
// CuttableFleet.h.

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <cstdlib>
#include <fcntl.h>
#include <netinet/in.h>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <sys/syscall.h>
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

bool isCut(int Descriptor, char Mode) {
  return Descriptor >= 0 &&
         static_cast<std::size_t>(Descriptor) < MaxDescriptors &&
         IsToServer[static_cast<std::size_t>(Descriptor)] && mode() == Mode;
}

} // namespace

extern "C" int connect(int Descriptor, sockaddr const *Address,
                       socklen_t Length) {
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
    return static_cast<int>(
        syscall(SYS_connect, Descriptor, &Target, sizeof(Target)));
  }
  return static_cast<int>(syscall(SYS_connect, Descriptor, Address, Length));
}

extern "C" int close(int Descriptor) {
  if (Descriptor >= 0 && static_cast<std::size_t>(Descriptor) < MaxDescriptors)
    IsToServer[static_cast<std::size_t>(Descriptor)] = false;
  return static_cast<int>(syscall(SYS_close, Descriptor));
}

extern "C" ssize_t sendmsg(int Descriptor, msghdr const *Message, int Flags) {
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
  return syscall(SYS_sendmsg, Descriptor, Message, Flags);
}

extern "C" ssize_t send(int Descriptor, void const *Bytes, std::size_t Size,
                        int Flags) {
  if (isCut(Descriptor, 'r')) {
    errno = ECONNRESET;
    return -1;
  }
  if (isCut(Descriptor, 'h'))
    return static_cast<ssize_t>(Size);
  return syscall(SYS_sendto, Descriptor, Bytes, Size, Flags, nullptr, 0);
}
