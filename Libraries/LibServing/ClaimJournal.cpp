#include <LibCore/Hash.h>
#include <LibServing/ClaimBucketWriter.h>
#include <LibServing/ClaimJournal.h>

#include <algorithm>

namespace laburnum {

ClaimJournal::ClaimJournal(ClaimJournalSettings Settings, std::uint64_t Seed)
    : Settings_(Settings), Seed_(Seed) {}

ClaimJournal::~ClaimJournal() = default;

std::vector<claims::Action> ClaimJournal::handle(claims::Event const &Event,
                                                 TimePoint Now) {
  std::vector<claims::Action> Out;
  auto const Route = [&](auto const &Alternative) {
    if constexpr (requires { Alternative.Bucket_; })
      writerOf(Alternative.Bucket_).on(Alternative, Now, Out);
    else if constexpr (requires { Alternative.Key_; })
      writerOf(bucketOf(Alternative.Account_, Alternative.Key_))
          .on(Alternative, Now, Out);
    else
      for (auto &[Bucket, Writer] : Writers_)
        Writer->on(Alternative, Now, Out);
  };
  std::visit(Route, Event);
  return Out;
}

ObjectKey ClaimJournal::bucketOf(AccountName const &Account,
                                 IdempotencyKey const &Key) const {
  auto const Hash = stableHash(Account.text() + '\0' + Key.text());
  return {"claims", std::to_string(Hash % std::max(Settings_.Buckets_, 1U))};
}

ClaimBucketWriter &ClaimJournal::writerOf(ObjectKey const &Bucket) {
  auto &Writer = Writers_[Bucket];
  if (!Writer)
    Writer = std::make_unique<ClaimBucketWriter>(
        Bucket, Settings_, stableHash(Bucket.Name_, Seed_));
  return *Writer;
}

} // namespace laburnum
