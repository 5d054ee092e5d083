#pragma once

#include <Processes/ProcessGroup.h>

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace laburnum::entry_process {

struct Response {
  int Status_ = 0; ///< 0: the connection ended without an answer.
  std::string Body_;
  std::string RetryAfter_;
};

using Fields = std::vector<std::pair<std::string, std::string>>;

/// Returns a loopback address that is unique to this test process and Number,
/// so that fixed ports are free on it.
std::string loopbackAddress(unsigned Number);

/// Runs a laburnum-entry process with its own loopback address and settings
/// file.
class EntryProcess {
public:
  /// Number distinguishes the instances of one test program. Program is a path
  /// or the name of a program of this build.
  EntryProcess(unsigned Number, std::uint16_t StorePort,
               std::string Program = "laburnum-entry");
  ~EntryProcess();
  EntryProcess(EntryProcess const &) = delete;
  EntryProcess &operator=(EntryProcess const &) = delete;

  void writeSettings(std::string const &RetryRatio);
  /// Adds lines to the settings, which take effect at the next start.
  void addSettings(std::string const &Lines) const;
  /// Kills the running process, if any, starts another and waits until it is
  /// ready.
  void start();
  /// Like start(), but does not wait for readiness.
  void launch();
  void kill() { Process_.reset(); }
  std::string const &address() const { return Address_; }
  static constexpr std::uint16_t TrafficPort = 8360;
  Response send(std::string const &Method, std::string const &Path,
                std::string const &Key = "k1",
                Fields const &Additional = {}) const;
  /// Posts the body to the path.
  Response sendBody(std::string const &Path, std::string const &Body) const;
  bool isReady() const;
  processes::Process &process() { return *Process_; }

private:
  Response sendTo(std::uint16_t Port, std::string const &Method,
                  std::string const &Path, std::string const &Key,
                  Fields const &Additional = {},
                  std::string const &Body = {}) const;

  std::string const Program_;
  std::string const Name_;
  std::string const Address_;
  std::uint16_t const StorePort_;
  std::filesystem::path Folder_;
  std::unique_ptr<processes::Process> Process_;
};

} // namespace laburnum::entry_process
