#include <LibRecovery/RetainedStream.h>

#include <algorithm>

namespace laburnum::streams {

bool RetainedStream::isConsistentWith(StreamRequested const &Request) const {
  if (Request.From_ > count())
    return false;
  return !Request.Digest_ ||
         digestOf(Tokens_, Request.From_) == *Request.Digest_;
}

bool RetainedStream::append(std::uint32_t From, Tokens const &More) {
  if (From > count())
    return false;
  auto const Known = count() - From;
  if (Known < More.size())
    Tokens_.insert(Tokens_.end(), More.begin() + Known, More.end());
  return true;
}

StreamContent RetainedStream::contentAt(TimePoint Now) const {
  auto Content = Content_;
  Content.Remaining_ = std::max(Deadline_ - Now, Duration::zero());
  return Content;
}

StreamCheckpoint RetainedStream::part(StreamName const &Name,
                                      EntryInstance const &Owner,
                                      std::uint32_t From, std::size_t MaxTokens,
                                      TimePoint Now) const {
  StreamCheckpoint Part;
  Part.Name_ = Name;
  Part.Owner_ = Owner;
  Part.Epoch_ = Epoch_.at(Now);
  if (From == 0)
    Part.Content_ = contentAt(Now);
  Part.From_ = std::min(From, count());
  auto const End = std::min<std::size_t>(Part.From_ + MaxTokens, count());
  Part.Tokens_ = {Tokens_.begin() + Part.From_,
                  Tokens_.begin() + static_cast<std::ptrdiff_t>(End)};
  Part.Total_ = count();
  Part.Phase_ = Phase_;
  return Part;
}

} // namespace laburnum::streams
