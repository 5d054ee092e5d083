#include "StoreStandin.h"

#include <algorithm>
#include <utility>

namespace laburnum::entry_process {

namespace {

using nlohmann::json;

constexpr std::string_view ObjectsPath = "/laburnumpond/objects/";

/// Decodes a part of a URL; in a query a plus sign stands for a space.
std::string decodeUrl(std::string const &Text) {
  std::string Decoded;
  for (std::size_t At = 0; At < Text.size(); ++At)
    if (Text[At] == '%' && At + 2 < Text.size()) {
      Decoded +=
          static_cast<char>(std::stoi(Text.substr(At + 1, 2), nullptr, 16));
      At += 2;
    } else {
      Decoded += Text[At];
    }
  return Decoded;
}

std::string decodeQuery(std::string Text) {
  std::replace(Text.begin(), Text.end(), '+', ' ');
  return decodeUrl(Text);
}

std::map<std::string, std::string> parseQuery(std::string const &Text) {
  std::map<std::string, std::string> Found;
  for (std::size_t At = 0; At < Text.size();) {
    auto const End = std::min(Text.find('&', At), Text.size());
    auto const Pair = Text.substr(At, End - At);
    auto const Equals = Pair.find('=');
    Found[Pair.substr(0, Equals)] =
        Equals == std::string::npos ? "" : decodeQuery(Pair.substr(Equals + 1));
    At = End + 1;
  }
  return Found;
}

} // namespace

void StoreStandin::onRequest(std::shared_ptr<Exchange> Exchange,
                             ReceivedRequest Request) {
  if (Mode_ == StoreMode::Silent)
    return Unanswered_.push_back(std::move(Exchange));
  if (Mode_ == StoreMode::Resets)
    return Exchange->abort();
  if (Mode_ == StoreMode::Busy)
    return reply(*Exchange, 503, json::object());
  ++Calls_;
  auto const &Target = Request.Head_.Target_;
  if (!Target.starts_with(ObjectsPath)) {
    PlatformApiCalls_.push_back(Target + ' ' + Request.Body_);
    return reply(*Exchange, 200, json::object());
  }
  auto const QueryStart = std::min(Target.find('?'), Target.size());
  auto const Query =
      parseQuery(QueryStart == Target.size() ? std::string()
                                             : Target.substr(QueryStart + 1));
  auto const Path =
      Target.substr(ObjectsPath.size(), QueryStart - ObjectsPath.size());
  auto const Slash = std::min(Path.find('/'), Path.size());
  auto const Kind = decodeUrl(Path.substr(0, Slash));
  auto const Name =
      Slash == Path.size() ? std::string() : decodeUrl(Path.substr(Slash + 1));
  if (Request.Head_.Method_ != "GET")
    return write(*Exchange, Request.Head_.Method_, Kind, Name,
                 json::parse(Request.Body_, nullptr, false));
  if (Query.contains("watch"))
    return watch(Exchange, Kind, std::stoull(Query.at("watch")),
                 std::chrono::milliseconds(std::stoll(Query.at("wait_ms"))));
  read(Exchange, Kind, Name,
       Query.contains("after") ? Query.at("after") : std::string());
}

void StoreStandin::reply(Exchange &To, std::int32_t Status,
                         json const &Body) const {
  AnswerHead Head{Status, {}};
  Head.Fields_.add("Store-Era", std::to_string(Era_));
  Head.Fields_.add("Content-Type", "application/json");
  auto Text = Body.dump();
  if (auto const At = Text.find(Replaced_.first);
      !Replaced_.first.empty() && At != std::string::npos)
    Text.replace(At, Replaced_.first.size(), Replaced_.second);
  To.answer(Head, Text);
}

json StoreStandin::show(std::string const &Name, Object const &Shown) const {
  return {{"metadata", {{"name", Name}, {"revision", Shown.Revision_}}},
          {"specification", Shown.Specification_},
          {"status", Shown.Status_}};
}

void StoreStandin::writeStatus(Exchange &To, std::string const &Kind,
                               std::string const &Name, json const &Body) {
  auto const Found = Objects_[Kind].find(Name);
  if (Found == Objects_[Kind].end() || Found->second.IsDeleted_)
    return reply(To, 404, json::object());
  auto const &Metadata = Body.at("metadata");
  if (Metadata.contains("revision") &&
      Metadata["revision"] != Found->second.Revision_)
    return reply(To, 409, json::object());
  Found->second.Status_ = Body.at("status");
  Found->second.Revision_ = ++Revision_;
  changed(Kind);
  reply(To, 200, show(Name, Found->second));
}

void StoreStandin::read(std::shared_ptr<Exchange> const &To,
                        std::string const &Kind, std::string const &Name,
                        std::string const &After) {
  if (!Name.empty()) {
    auto const Found = Objects_[Kind].find(Name);
    if (Found == Objects_[Kind].end() || Found->second.IsDeleted_)
      return reply(*To, 404, json::object());
    return reply(*To, 200, show(Name, Found->second));
  }
  ++PagesRead_[Kind];
  auto Items = json::array();
  bool HasMore = false;
  auto const &Objects = Objects_[Kind];
  for (auto Each = After.empty() ? Objects.begin() : Objects.upper_bound(After);
       Each != Objects.end(); ++Each) {
    if (Each->second.IsDeleted_)
      continue;
    HasMore = Items.size() == PageSize_;
    if (HasMore)
      break;
    Items.push_back(show(Each->first, Each->second));
  }
  reply(*To, 200,
        {{"items", Items}, {"has_more", HasMore}, {"current_rev", Revision_}});
}

std::size_t StoreStandin::pagesRead(std::string const &Kind) const {
  auto const Found = PagesRead_.find(Kind);
  return Found == PagesRead_.end() ? 0 : Found->second;
}

void StoreStandin::watch(std::shared_ptr<Exchange> const &To,
                         std::string const &Kind, std::uint64_t From,
                         Duration Wait) {
  if (From < HistoryFrom_ || From > Revision_)
    return reply(*To, 410, json::object());
  Watch Pending{Kind, From, To, std::make_shared<asio::steady_timer>(Context_)};
  for (auto const &[Name, Object] : Objects_[Kind])
    if (Object.Revision_ > From)
      return answerWatch(Pending);
  Pending.Timer_->expires_after(Wait);
  Pending.Timer_->async_wait([this, To](asio::error_code Failure) {
    if (Failure)
      return;
    for (auto const &Waiting : Watches_)
      if (Waiting.Exchange_ == To && Mode_ == StoreMode::Normal)
        answerWatch(Waiting);
    Watches_.remove_if(
        [&](Watch const &Waiting) { return Waiting.Exchange_ == To; });
  });
  Watches_.push_back(std::move(Pending));
}

void StoreStandin::answerWatch(Watch const &Pending) {
  auto Events = json::array();
  for (auto const &[Name, Object] : Objects_[Pending.Kind_])
    if (Object.Revision_ > Pending.From_)
      Events.push_back(
          {{"object", show(Name, Object)}, {"deleted", Object.IsDeleted_}});
  reply(*Pending.Exchange_, 200,
        {{"events", Events}, {"current_rev", Revision_}});
}

void StoreStandin::write(Exchange &To, std::string const &Method,
                         std::string const &Kind, std::string const &Name,
                         json const &Body) {
  if (Method == "DELETE") {
    remove(Kind, Name);
    return reply(To, 200, json::object());
  }
  constexpr std::string_view StatusSuffix = "/status";
  if (Name.ends_with(StatusSuffix))
    return writeStatus(To, Kind,
                       Name.substr(0, Name.size() - StatusSuffix.size()), Body);
  auto const &Metadata = Body.at("metadata");
  auto const ObjectName =
      Name.empty() ? Metadata.at("name").get<std::string>() : Name;
  auto const Found = Objects_[Kind].find(ObjectName);
  bool const Exists =
      Found != Objects_[Kind].end() && !Found->second.IsDeleted_;
  if (Method == "POST" ? Exists
                       : Exists && Metadata.contains("revision") &&
                             Metadata["revision"] != Found->second.Revision_)
    return reply(To, 409, json::object());
  if (Method == "PUT" && !Exists)
    return reply(To, 404, json::object());
  put(Kind, ObjectName, Body.at("specification"));
  if (Mode_ == StoreMode::LosesWrites)
    return To.abort();
  reply(To, 200, show(ObjectName, Objects_[Kind][ObjectName]));
}

void StoreStandin::put(std::string const &Kind, std::string const &Name,
                       json Specification) {
  Objects_[Kind][Name] = {++Revision_, std::move(Specification), false, {}};
  changed(Kind);
}

void StoreStandin::remove(std::string const &Kind, std::string const &Name) {
  auto const Found = Objects_[Kind].find(Name);
  if (Found == Objects_[Kind].end())
    return;
  Found->second.Revision_ = ++Revision_;
  Found->second.IsDeleted_ = true;
  changed(Kind);
}

void StoreStandin::restore(Backup const &Older) {
  Objects_ = Older.Objects_;
  HistoryFrom_ = Revision_ = Older.Revision_;
  ++Era_;
  for (auto const &Pending : std::exchange(Watches_, {})) {
    Pending.Timer_->cancel();
    Pending.Exchange_->abort();
  }
}

void StoreStandin::dropHistory() { HistoryFrom_ = ++Revision_; }

std::size_t StoreStandin::count(std::string const &Kind) const {
  auto const Found = Objects_.find(Kind);
  std::size_t Count = 0;
  if (Found != Objects_.end())
    for (auto const &[Name, Object] : Found->second)
      Count += Object.IsDeleted_ ? 0 : 1;
  return Count;
}

void StoreStandin::changed(std::string const &Kind) {
  if (Mode_ == StoreMode::Silent)
    return;
  auto const Previous = std::exchange(Watches_, {});
  for (auto const &Pending : Previous) {
    if (Pending.Kind_ != Kind) {
      Watches_.push_back(Pending);
      continue;
    }
    Pending.Timer_->cancel();
    answerWatch(Pending);
  }
}

} // namespace laburnum::entry_process
