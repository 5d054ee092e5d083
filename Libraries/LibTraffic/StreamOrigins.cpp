#include <LibTraffic/StreamOrigins.h>

#include <utility>

namespace laburnum {

namespace {

/// About 30 s of 300 streams a second, more than one instance carries.
constexpr std::size_t MaxStreams = 10000;

} // namespace

void StreamOrigins::forgetOld(TimePoint Now) {
  while (!Order_.empty()) {
    auto const Oldest = Streams_.find(Order_.begin()->second);
    if (Streams_.size() <= MaxStreams &&
        Now - Oldest->second.LastUsedAt_ < RetentionTime)
      return;
    Streams_.erase(Oldest);
    Order_.erase(Order_.begin());
  }
}

void StreamOrigins::onBegun(BegunStream Stream, TimePoint Now) {
  auto &Entry = Streams_[Stream.FirstAttemptId_];
  Order_.erase(Entry.Number_);
  Entry = {std::move(Stream.Origin_), Now, ++LastNumber_, false};
  Order_[LastNumber_] = std::move(Stream.FirstAttemptId_);
  forgetOld(Now);
}

void StreamOrigins::onFinished(std::string const &FirstAttemptId) {
  if (auto const Found = Streams_.find(FirstAttemptId); Found != Streams_.end())
    Found->second.IsFinished_ = true;
}

std::optional<StreamOrigin>
StreamOrigins::find(std::string const &FirstAttemptId, TimePoint Now) const {
  auto const Found = Streams_.find(FirstAttemptId);
  if (Found == Streams_.end() ||
      Now - Found->second.LastUsedAt_ >= RetentionTime)
    return std::nullopt;
  return Found->second.Origin_;
}

std::vector<BegunStream> StreamOrigins::unfinished(TimePoint Now) {
  forgetOld(Now);
  std::vector<BegunStream> Unfinished;
  for (auto const &[FirstAttemptId, Entry] : Streams_)
    if (!Entry.IsFinished_)
      Unfinished.push_back({FirstAttemptId, Entry.Origin_});
  return Unfinished;
}

} // namespace laburnum
