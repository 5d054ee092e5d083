// Linked into cuttable-entry, a build of laburnum-entry for tests: cuts its
// connections to the servers, whose ports LABURNUM_CUT_PORTS names, as the
// first character of the file that LABURNUM_CUT_FILE names says. See Cut in
// LinkCuts.h. Each further line of the file is the IPv4 address of another
// instance that gets nothing, or "store": nothing passes to or from the store,
// whose port LABURNUM_STORE_PORT names.

#include <algorithm>
#include <arpa/inet.h>
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
/// The address of the instance that a connection leads to, in network order,
/// or StoreLink; 0 for other connections.
std::array<std::atomic<in_addr_t>, MaxDescriptors> Links;
constexpr in_addr_t StoreLink = INADDR_BROADCAST;

std::string cuts() {
  static char const *const Path = std::getenv("LABURNUM_CUT_FILE");
  std::string Text(2048, '\0');
  ssize_t Size = 0;
  if (int const File = Path ? open(Path, O_RDONLY | O_CLOEXEC) : -1;
      File >= 0) {
    Size = read(File, Text.data(), Text.size());
    close(File);
  }
  Text.resize(static_cast<std::size_t>(std::max<ssize_t>(Size, 0)));
  return Text;
}

char mode() {
  auto const Text = cuts();
  return Text.empty() ? 'n' : Text.front();
}

in_addr_t linkTo(sockaddr_in const &Address) {
  static auto const StorePort = [] {
    char const *const Port = std::getenv("LABURNUM_STORE_PORT");
    return Port ? std::atoi(Port) : 0;
  }();
  int const Port = ntohs(Address.sin_port);
  if (Port == StorePort)
    return StoreLink;
  // Messages between instances, and requests that they pass on.
  constexpr int FirstInternalPort = 7500;
  constexpr int LastInternalPort = 7501;
  return Port == FirstInternalPort || Port == LastInternalPort
             ? Address.sin_addr.s_addr
             : 0;
}

bool isCutLink(in_addr_t Link) {
  if (Link == 0)
    return false;
  std::array<char, INET_ADDRSTRLEN> Name{};
  if (Link == StoreLink)
    std::copy_n("store", sizeof("store"), Name.begin());
  else
    inet_ntop(AF_INET, &Link, Name.data(), Name.size());
  std::istringstream Lines(cuts());
  for (std::string Line; std::getline(Lines, Line);)
    if (Line == Name.data())
      return true;
  return false;
}

in_addr_t linkOf(int Descriptor) {
  return Descriptor >= 0 &&
                 static_cast<std::size_t>(Descriptor) < MaxDescriptors
             ? Links[static_cast<std::size_t>(Descriptor)].load()
             : 0;
}

bool isSilent(int Descriptor) { return isCutLink(linkOf(Descriptor)); }

/// What a store sends that is cut off does not arrive.
bool isDeaf(int Descriptor) {
  return linkOf(Descriptor) == StoreLink && isSilent(Descriptor);
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
  if (static_cast<std::size_t>(Descriptor) < MaxDescriptors) {
    IsToServer[static_cast<std::size_t>(Descriptor)] = IsServer;
    Links[static_cast<std::size_t>(Descriptor)] = linkTo(Target);
  }
  if (IsServer && (mode() == 'r' || mode() == 'f')) {
    errno = ECONNREFUSED;
    return -1;
  }
  if ((IsServer && mode() == 'h') || isSilent(Descriptor)) {
    // Its queue of connections is full, so it answers no more.
    Target.sin_port = htons(
        static_cast<in_port_t>(std::atoi(std::getenv("LABURNUM_BLACK_HOLE"))));
    return static_cast<int>(
        syscall(SYS_connect, Descriptor, &Target, sizeof(Target)));
  }
  return static_cast<int>(syscall(SYS_connect, Descriptor, Address, Length));
}

extern "C" int close(int Descriptor) {
  if (Descriptor >= 0 &&
      static_cast<std::size_t>(Descriptor) < MaxDescriptors) {
    IsToServer[static_cast<std::size_t>(Descriptor)] = false;
    Links[static_cast<std::size_t>(Descriptor)] = 0;
  }
  return static_cast<int>(syscall(SYS_close, Descriptor));
}

extern "C" ssize_t sendmsg(int Descriptor, msghdr const *Message, int Flags) {
  if (isCut(Descriptor, 'r')) {
    errno = ECONNRESET;
    return -1;
  }
  if (isCut(Descriptor, 'h') || isSilent(Descriptor)) {
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
  if (isCut(Descriptor, 'h') || isSilent(Descriptor))
    return static_cast<ssize_t>(Size);
  return syscall(SYS_sendto, Descriptor, Bytes, Size, Flags, nullptr, 0);
}

extern "C" ssize_t recvmsg(int Descriptor, msghdr *Message, int Flags) {
  if (isDeaf(Descriptor)) {
    errno = EAGAIN;
    return -1;
  }
  return syscall(SYS_recvmsg, Descriptor, Message, Flags);
}

extern "C" ssize_t recv(int Descriptor, void *Bytes, std::size_t Size,
                        int Flags) {
  if (isDeaf(Descriptor)) {
    errno = EAGAIN;
    return -1;
  }
  return syscall(SYS_recvfrom, Descriptor, Bytes, Size, Flags, nullptr,
                 nullptr);
}
