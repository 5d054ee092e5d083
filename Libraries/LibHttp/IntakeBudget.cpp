#include <LibHttp/IntakeBudget.h>

namespace laburnum {

namespace {

/// Requests that take less are given up only if no larger one is left: that
/// would free little.
constexpr std::size_t MuchBytes = 16384;

} // namespace

IntakeBudget::Holder *IntakeBudget::oldestReading() const {
  Holder *Oldest = nullptr;
  Entry const *OldestEntry = nullptr;
  for (auto const &[Each, Entry] : Entries_) {
    if (Entry.Stage_ != Stage::Reading)
      continue;
    bool const IsMuch = Entry.Bytes_ >= MuchBytes;
    bool const IsBefore = !OldestEntry ||
                          IsMuch > (OldestEntry->Bytes_ >= MuchBytes) ||
                          (IsMuch == (OldestEntry->Bytes_ >= MuchBytes) &&
                           Entry.BegunAt_ < OldestEntry->BegunAt_);
    if (!IsBefore)
      continue;
    Oldest = Each;
    OldestEntry = &Entry;
  }
  return Oldest;
}

bool IntakeBudget::set(Holder &Of, std::size_t Bytes, Stage At,
                       TimePoint BegunAt) {
  auto &Held = Entries_[&Of];
  HeldBytes_ = HeldBytes_ - Held.Bytes_ + Bytes;
  Held = {Bytes, At, BegunAt};
  while (HeldBytes_ > Limits_.Bytes_) {
    auto *const Oldest = oldestReading();
    if (!Oldest)
      // Only requests that are served are left, and this one.
      return At == Stage::Serving && Bytes == HeldBytes_;
    remove(*Oldest);
    Oldest->giveUpRequest();
    if (Oldest == &Of)
      return false;
  }
  return true;
}

void IntakeBudget::remove(Holder &Of) {
  auto const Found = Entries_.find(&Of);
  if (Found == Entries_.end())
    return;
  HeldBytes_ -= Found->second.Bytes_;
  Entries_.erase(Found);
}

} // namespace laburnum
