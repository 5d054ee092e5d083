#pragma once

#include "RunnerStandin.h"
#include "StoreStandin.h"

#include <Processes/ProcessGroup.h>

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>

#include <filesystem>
#include <future>
#include <memory>
#include <string>
#include <thread>

namespace laburnum::entry_process {

struct Got {
  int Status_ = 0; ///< 0: the connection ended without an answer.
  std::string Body_;
  std::string RetryAfter_;
};

/// laburnum-entry as a process, before a store and a backend server that live
/// on a thread of the test.
class EntryFixture {
public:
  EntryFixture();
  ~EntryFixture();
  EntryFixture(EntryFixture const &) = delete;
  EntryFixture &operator=(EntryFixture const &) = delete;

  /// Runs Task on the stand-ins' thread and waits for it.
  template <typename Function> auto on(Function Task) {
    std::packaged_task<decltype(Task())()> Packed(std::move(Task));
    auto Done = Packed.get_future();
    asio::post(Context_, [&Packed] { Packed(); });
    return Done.get();
  }

  void writeSettings(std::string const &RetryRatio);
  /// One configuration with the routes /read/ and /order/ and, from its second
  /// version on, /new/.
  void writeConfiguration(std::uint64_t Version);
  void writeServer(std::string const &Name, std::string const &State,
                   std::uint64_t Sequence = 1);
  Got send(std::string const &Method, std::string const &Path,
           std::string const &Key = "k1") const;
  bool isReady() const;
  std::size_t requestsAtRunner();

  asio::io_context Context_{1};
  asio::executor_work_guard<asio::io_context::executor_type> Work_{
      Context_.get_executor()};
  StoreStandin Store_{Context_};
  RunnerStandin Runner_;
  std::string const Address_; ///< Of the instance, on loopback.
  std::unique_ptr<processes::Process> Entry_;

private:
  Got ask(std::uint16_t Port, std::string const &Method,
          std::string const &Path, std::string const &Key) const;

  std::filesystem::path Folder_;
  std::shared_ptr<HttpListener> StoreListener_;
  std::shared_ptr<HttpListener> RunnerListener_;
  std::thread Thread_;
};

} // namespace laburnum::entry_process
