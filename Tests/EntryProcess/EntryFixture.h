#pragma once

#include "EntryProcess.h"
#include "ServerStandin.h"
#include "StandinThread.h"
#include "StoreStandin.h"

#include <memory>
#include <string>

namespace laburnum::entry_process {

/// A laburnum-entry process with stand-ins of the store and of a backend
/// server, which run on a thread of the test.
class EntryFixture {
public:
  EntryFixture();
  ~EntryFixture();
  EntryFixture(EntryFixture const &) = delete;
  EntryFixture &operator=(EntryFixture const &) = delete;

  template <typename Function> auto on(Function Task) {
    return Thread_.on(std::move(Task));
  }

  void writeConfiguration(std::uint64_t Version);
  void writeServer(std::string const &Name, std::string const &State,
                   std::uint64_t Sequence = 1);
  Response send(std::string const &Method, std::string const &Path,
                std::string const &Key = "k1",
                Fields const &Additional = {}) const {
    return Instance_->send(Method, Path, Key, Additional);
  }
  std::size_t requestsAtServer();
  std::uint16_t storePort() const {
    return StoreListener_->localEndpoint().Port_;
  }

  StandinThread Thread_;
  StoreStandin Store_{Thread_.context()};
  ServerStandin Server_;
  std::unique_ptr<EntryProcess> Instance_;

private:
  std::shared_ptr<HttpListener> StoreListener_;
  std::shared_ptr<HttpListener> ServerListener_;
};

} // namespace laburnum::entry_process
