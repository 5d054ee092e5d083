#include <LibCallers/StreamLog.h>

#include <utility>

namespace laburnum {

StreamLog::StreamLog(std::vector<std::string> const &Produced) {
  for (auto const &Text : Produced)
    append(Text);
}

void StreamLog::append(std::string const &Text) {
  auto const Before = Digests_.empty() ? EmptyTokenDigest : Digests_.back();
  Tokens_.push_back(Text);
  Digests_.push_back(extendDigest(Before, Text));
}

Continue StreamLog::push(std::uint32_t Offset, std::string const &Text) {
  std::lock_guard const Lock(Mutex_);
  if (IsClosed_ || Offset != Tokens_.size())
    return Continue::No;
  append(Text);
  Changed_.notify_all();
  return Continue::Yes;
}

void StreamLog::finish() {
  std::lock_guard const Lock(Mutex_);
  if (std::exchange(IsClosed_, true))
    return;
  End_ = StreamComplete{};
  Changed_.notify_all();
}

void StreamLog::fail(FailureAnswer Failure) {
  std::lock_guard const Lock(Mutex_);
  if (std::exchange(IsClosed_, true))
    return;
  End_ = std::move(Failure);
  Changed_.notify_all();
}

void StreamLog::close() {
  std::lock_guard const Lock(Mutex_);
  IsClosed_ = true;
}

void StreamLog::end(StreamItem Item) {
  std::lock_guard const Lock(Mutex_);
  IsClosed_ = true;
  if (!End_)
    End_ = std::move(Item);
  Changed_.notify_all();
}

void StreamLog::markMoved() { end(StreamMoved{}); }

void StreamLog::supersede(FailureAnswer Failure) { end(std::move(Failure)); }

bool StreamLog::matchesDigest(std::uint32_t Offset,
                              std::optional<TokenDigest> const &Digest) const {
  if (Offset > Tokens_.size())
    return false;
  return !Digest || Offset == 0 || Digests_[Offset - 1] == *Digest;
}

bool StreamLog::attach(ReaderNumber Reader, std::uint32_t Offset,
                       std::optional<TokenDigest> const &Digest) {
  std::lock_guard const Lock(Mutex_);
  if (!matchesDigest(Offset, Digest))
    return false;
  CurrentReader_ = Reader;
  Changed_.notify_all();
  return true;
}

bool StreamLog::isReady(ReaderNumber Reader, std::uint32_t Offset) const {
  return Reader != CurrentReader_ || Offset < Tokens_.size() ||
         End_.has_value();
}

StreamItem StreamLog::read(ReaderNumber Reader, std::uint32_t Offset) {
  std::unique_lock Lock(Mutex_);
  Changed_.wait(Lock, [&] { return isReady(Reader, Offset); });
  if (Reader != CurrentReader_)
    return StreamMoved{};
  if (Offset < Tokens_.size())
    return StreamToken{Offset, Tokens_[Offset], Digests_[Offset]};
  return *End_;
}

std::vector<std::string> StreamLog::tokensFrom(std::uint32_t Offset) const {
  std::lock_guard const Lock(Mutex_);
  if (Offset >= Tokens_.size())
    return {};
  return {Tokens_.begin() + Offset, Tokens_.end()};
}

} // namespace laburnum
