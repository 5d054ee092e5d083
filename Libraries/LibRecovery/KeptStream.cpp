#include <LibRecovery/KeptStream.h>

#include <algorithm>

namespace laburnum::streams {

bool KeptStream::continuesFor(StreamWanted const &Wanted) const {
  if (Wanted.From_ > count())
    return false;
  return !Wanted.Digest_ || digestOf(Tokens_, Wanted.From_) == *Wanted.Digest_;
}

bool KeptStream::append(std::uint32_t From, Tokens const &More) {
  if (From > count())
    return false;
  auto const Known = count() - From;
  if (Known < More.size())
    Tokens_.insert(Tokens_.end(), More.begin() + Known, More.end());
  return true;
}

StreamContent KeptStream::contentAt(TimePoint Now) const {
  auto Content = Content_;
  Content.Remaining_ = std::max(Deadline_ - Now, Duration::zero());
  return Content;
}

StreamCheckpoint KeptStream::part(StreamName const &Name,
                                  EntryInstance const &Owner,
                                  std::uint32_t From, std::size_t Most,
                                  TimePoint Now) const {
  StreamCheckpoint Part;
  Part.Name_ = Name;
  Part.Owner_ = Owner;
  Part.Epoch_ = Epoch_.at(Now);
  if (From == 0)
    Part.Content_ = contentAt(Now);
  Part.From_ = std::min(From, count());
  auto const End = std::min<std::size_t>(Part.From_ + Most, count());
  Part.Tokens_ = {Tokens_.begin() + Part.From_,
                  Tokens_.begin() + static_cast<std::ptrdiff_t>(End)};
  Part.Total_ = count();
  Part.Phase_ = Phase_;
  return Part;
}

} // namespace laburnum::streams
