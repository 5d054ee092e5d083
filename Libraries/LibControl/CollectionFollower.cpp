#include <LibControl/CollectionFollower.h>

#include <algorithm>

namespace laburnum {

namespace {

constexpr std::chrono::milliseconds ListTimeout{1500};
/// How long one watch waits. A store that has gone silent is noticed when its
/// answer is overdue, so that this bounds how late a change is seen after it;
/// each watch that ends is a call that is paid for.
constexpr std::chrono::milliseconds WatchWait{2000};
/// After a change, so that others that come with it cost one call together.
constexpr std::chrono::milliseconds BatchPause{400};
/// Pauses between tries while the store does not answer: short, as an accepted
/// configuration has to be in force within seconds of the store's return.
constexpr std::chrono::milliseconds FirstPause{50};
constexpr std::chrono::milliseconds LongestPause{400};
constexpr std::uint32_t MostDoublings = 4;

} // namespace

CollectionFollower::CollectionFollower(asio::io_context &Context,
                                       AsyncObjectStore &Store,
                                       std::string Collection,
                                       CollectionReader &Reader,
                                       std::uint64_t Seed)
    : Store_(Store), Collection_(std::move(Collection)), Reader_(Reader),
      Timer_(Context), Generator_(Seed) {}

void CollectionFollower::start() { list(); }

void CollectionFollower::stop() {
  IsStopped_ = true;
  Timer_.cancel();
}

void CollectionFollower::list() {
  Store_.list(Collection_, ListTimeout,
              [Self = shared_from_this()](Result<ObjectList> Listed) {
                if (!Self->IsStopped_)
                  Self->onListed(std::move(Listed));
              });
}

void CollectionFollower::onListed(Result<ObjectList> Listed) {
  if (isError(Listed))
    return onFailure(errorOf(Listed));
  onSuccess();
  From_ = valueOf(Listed).StoreVersion_;
  Reader_.onListed(valueOf(Listed));
  Reader_.onCurrent(From_);
  watch();
}

void CollectionFollower::watch() {
  Store_.watch(Collection_, From_, WatchWait,
               [Self = shared_from_this()](Result<WatchBatch> Watched) {
                 if (!Self->IsStopped_)
                   Self->onWatched(std::move(Watched));
               });
}

void CollectionFollower::onWatched(Result<WatchBatch> Watched) {
  if (isError(Watched))
    return onFailure(errorOf(Watched));
  onSuccess();
  auto const &Batch = valueOf(Watched);
  if (Batch.Continuity_ == WatchContinuity::Gap)
    return list();
  From_ = std::max(From_, Batch.StoreVersion_);
  if (!Batch.Objects_.empty())
    Reader_.onChanged(Batch);
  Reader_.onCurrent(From_);
  if (Batch.Objects_.empty())
    return watch();
  after(BatchPause, &CollectionFollower::watch);
}

void CollectionFollower::onFailure(Error const &Reason) {
  if (Failures_++ == 0)
    Reader_.onLost(Reason);
  Duration const Longest = std::min<Duration>(
      LongestPause,
      FirstPause * (1U << std::min(Failures_ - 1, MostDoublings)));
  std::uniform_int_distribution<Duration::rep> Spread(Longest.count() / 2,
                                                      Longest.count());
  // A watch that is cut may have missed changes whose history is gone, and the
  // store may then keep a watch from the old version waiting.
  after(Duration(Spread(Generator_)), &CollectionFollower::list);
}

void CollectionFollower::onSuccess() {
  if (Failures_ > 0)
    Reader_.onRegained();
  Failures_ = 0;
}

void CollectionFollower::after(Duration Pause,
                               void (CollectionFollower::*Next)()) {
  Timer_.expires_after(Pause);
  Timer_.async_wait(
      [Self = shared_from_this(), Next](asio::error_code Failure) {
        if (!Failure && !Self->IsStopped_)
          (Self.get()->*Next)();
      });
}

} // namespace laburnum
