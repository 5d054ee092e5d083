#pragma once

#include <LibHttp/HttpListener.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <list>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace laburnum::entry_process {

/// How the store responds to calls.
enum class StoreMode {
  Normal,
  Silent,     ///< Accepts calls and never answers.
  Busy,       ///< Rejects every call with 503.
  Resets,     ///< Aborts every call.
  LosesWrites ///< Applies writes but aborts the connection without an answer.
};

/// Stand-in for the platform's store that speaks its published protocol: lists,
/// watches, conditional writes, and a history that can be dropped. Used on the
/// thread of its io_context.
class StoreStandin : public HttpService {
public:
  struct Object {
    std::uint64_t Revision_ = 0;
    nlohmann::json Specification_;
    bool IsDeleted_ = false;
    nlohmann::json Status_ = {};
  };

  explicit StoreStandin(asio::io_context &Context) : Context_(Context) {}

  ClientBounds bounds() const override { return {}; }
  void onRequest(std::shared_ptr<Exchange> Exchange,
                 ReceivedRequest Request) override;

  void put(std::string const &Kind, std::string const &Name,
           nlohmann::json Specification);
  void remove(std::string const &Kind, std::string const &Name);
  /// The state at some moment, to be restored later.
  struct Backup {
    std::map<std::string, std::map<std::string, Object>> Objects_;
    std::uint64_t Revision_ = 0;
  };
  Backup backup() const { return {Objects_, Revision_}; }
  /// Returns to an older state: revisions are given out again, and the era in
  /// all answers rises.
  void restore(Backup const &Older);
  std::uint64_t revision() const { return Revision_; }
  std::size_t calls() const { return Calls_; }
  /// Drops the history so far: watches from older revisions get 410.
  void dropHistory();
  void setMode(StoreMode Mode) { Mode_ = Mode; }
  /// Lists at most that many objects in one answer.
  void setPageSize(std::size_t Objects) { PageSize_ = Objects; }
  /// How many pages of a kind have been asked for.
  std::size_t pagesRead(std::string const &Kind) const;
  /// Replaces the string What by the bytes With in all answers, as another
  /// writer might have written them.
  void replaceInAnswers(std::string const &What, std::string With) {
    Replaced_ = {'"' + What + '"', std::move(With)};
  }
  nlohmann::json object(std::string const &Kind,
                        std::string const &Name) const {
    return Objects_.at(Kind).at(Name).Specification_;
  }
  /// Returns the object's status, as the system has last written it.
  nlohmann::json status(std::string const &Kind,
                        std::string const &Name) const {
    return Objects_.at(Kind).at(Name).Status_;
  }
  std::size_t count(std::string const &Kind) const;
  /// Returns paths and bodies of the calls to the platform API, which shares
  /// the store's address here.
  std::vector<std::string> const &platformApiCalls() const {
    return PlatformApiCalls_;
  }

private:
  struct Watch {
    std::string Kind_;
    std::uint64_t From_ = 0;
    std::shared_ptr<Exchange> Exchange_;
    std::shared_ptr<asio::steady_timer> Timer_;
  };

  void reply(Exchange &To, std::int32_t Status,
             nlohmann::json const &Body) const;
  nlohmann::json show(std::string const &Name, Object const &Shown) const;
  void read(std::shared_ptr<Exchange> const &To, std::string const &Kind,
            std::string const &Name, std::string const &After);
  void watch(std::shared_ptr<Exchange> const &To, std::string const &Kind,
             std::uint64_t From, Duration Wait);
  void write(Exchange &To, std::string const &Method, std::string const &Kind,
             std::string const &Name, nlohmann::json const &Body);
  void writeStatus(Exchange &To, std::string const &Kind,
                   std::string const &Name, nlohmann::json const &Body);
  void answerWatch(Watch const &Pending);
  void changed(std::string const &Kind);

  asio::io_context &Context_;
  std::map<std::string, std::map<std::string, Object>> Objects_;
  std::uint64_t Revision_ = 1;
  std::uint64_t HistoryFrom_ = 0;
  std::uint64_t Era_ = 1;
  std::size_t Calls_ = 0;
  std::list<Watch> Watches_;
  std::list<std::shared_ptr<Exchange>> Unanswered_;
  std::vector<std::string> PlatformApiCalls_;
  StoreMode Mode_ = StoreMode::Normal;
  std::size_t PageSize_ = 500;
  std::map<std::string, std::size_t> PagesRead_;
  std::pair<std::string, std::string> Replaced_;
};

} // namespace laburnum::entry_process
