#pragma once

#include <LibHttp/HttpListener.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <list>
#include <map>
#include <string>
#include <vector>

namespace laburnum::entry_process {

/// How the store treats its callers.
enum class StoreMood {
  Normal,
  Silent,     ///< Takes calls and never answers them.
  Busy,       ///< Refuses every call with 503.
  LosesWrites ///< Makes the change and breaks the connection off.
};

/// The platform's store, by its published protocol: list, watch, conditional
/// writes, a history that can be gone. Used on the thread of its io_context.
class StoreStandin : public HttpService {
public:
  explicit StoreStandin(asio::io_context &Context) : Context_(Context) {}

  ClientBounds bounds() const override { return {}; }
  void onRequest(std::shared_ptr<Exchange> Exchange,
                 ReceivedRequest Request) override;

  void put(std::string const &Kind, std::string const &Name,
           nlohmann::json Specification);
  void remove(std::string const &Kind, std::string const &Name);
  /// Forgets all changes so far: watches from before are told so.
  void dropHistory();
  void setMood(StoreMood Mood) { Mood_ = Mood; }
  std::size_t count(std::string const &Kind) const;
  /// Paths and bodies of the calls that are a duty, which go to the same
  /// address here.
  std::vector<std::string> const &dutyCalls() const { return DutyCalls_; }

private:
  struct Object {
    std::uint64_t Revision_ = 0;
    nlohmann::json Specification_;
    bool IsDeleted_ = false;
  };
  struct Watch {
    std::string Kind_;
    std::uint64_t From_ = 0;
    std::shared_ptr<Exchange> Exchange_;
    std::shared_ptr<asio::steady_timer> Timer_;
  };

  void reply(Exchange &To, std::int32_t Status, nlohmann::json const &Body);
  nlohmann::json show(std::string const &Name, Object const &Shown) const;
  void read(std::shared_ptr<Exchange> const &To, std::string const &Kind,
            std::string const &Name);
  void watch(std::shared_ptr<Exchange> const &To, std::string const &Kind,
             std::uint64_t From, Duration Wait);
  void write(Exchange &To, std::string const &Method, std::string const &Kind,
             std::string const &Name, nlohmann::json const &Body);
  void answerWatch(Watch const &Of);
  void changed(std::string const &Kind);

  asio::io_context &Context_;
  std::map<std::string, std::map<std::string, Object>> Objects_;
  std::uint64_t Revision_ = 1;
  std::uint64_t HistoryFrom_ = 0;
  std::list<Watch> Watches_;
  std::list<std::shared_ptr<Exchange>> Unanswered_;
  std::vector<std::string> DutyCalls_;
  StoreMood Mood_ = StoreMood::Normal;
};

} // namespace laburnum::entry_process
