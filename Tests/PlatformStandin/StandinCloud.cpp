#include <PlatformStandin/StandinCloud.h>

#include <algorithm>

namespace laburnum {

void StandinCloud::add(ListedEntryInstance const &Instance, TimePoint Now) {
  std::lock_guard const Lock(Mutex_);
  removeExpired(Now);
  auto &Listed = CurrentListing_.EntryInstances_;
  std::erase_if(Listed, [&](ListedEntryInstance const &Other) {
    return Other.Instance_.Id_ == Instance.Instance_.Id_;
  });
  Listed.push_back(Instance);
  record(Now);
}

InstanceListing StandinCloud::listing(TimePoint Now) {
  std::lock_guard const Lock(Mutex_);
  removeExpired(Now);
  auto const VisibleTime = Now - Lag_;
  while (Snapshots_.size() > 1 && Snapshots_[1].Since_ <= VisibleTime)
    Snapshots_.pop_front();
  if (Snapshots_.empty() || Snapshots_.front().Since_ > VisibleTime)
    return {};
  return Snapshots_.front().Listing_;
}

void StandinCloud::reclaim(ReclaimNotice const &Notice, TimePoint Now) {
  std::lock_guard const Lock(Mutex_);
  removeExpired(Now);
  auto const RemovalTime = Now + Notice.Remaining_;
  Notices_.push_back({Notice, RemovalTime});
  Removals_.emplace(RemovalTime, Notice.InstanceName_);
  markLeaving(Notice.InstanceName_);
  record(Now);
  NoticeAdded_.notify_all();
}

NoticeBatch StandinCloud::notices(std::uint64_t From, Duration Wait) {
  std::unique_lock Lock(Mutex_);
  NoticeAdded_.wait_for(Lock, Wait,
                        [&] { return IsStopped_ || Notices_.size() > From; });
  auto const Now = readClock();
  NoticeBatch Batch{Notices_.size(), {}};
  for (auto Next = From; Next < Notices_.size(); ++Next) {
    auto Notice = Notices_[Next].Notice_;
    Notice.Remaining_ = Notices_[Next].RemovalTime_ - Now;
    Batch.Notices_.push_back(std::move(Notice));
  }
  return Batch;
}

ServerId StandinCloud::start(StartOrder const &Order, TimePoint Now) {
  std::lock_guard const Lock(Mutex_);
  removeExpired(Now);
  ServerId const Next("started-" + std::to_string(Started_.size() + 1));
  auto const [Entry, IsNew] = Started_.emplace(Order.OrderId_, Next);
  if (IsNew) {
    CurrentListing_.Servers_.push_back({Next, Liveness::Live});
    record(Now);
  }
  return Entry->second;
}

void StandinCloud::remove(ServerId const &Id, TimePoint Now) {
  std::lock_guard const Lock(Mutex_);
  removeExpired(Now);
  eraseName(Id.text());
  record(Now);
}

void StandinCloud::stop() {
  std::lock_guard const Lock(Mutex_);
  IsStopped_ = true;
  NoticeAdded_.notify_all();
}

void StandinCloud::removeExpired(TimePoint Now) {
  while (!Removals_.empty() && Removals_.begin()->first <= Now) {
    auto const [RemovalTime, Name] = *Removals_.begin();
    Removals_.erase(Removals_.begin());
    eraseName(Name);
    record(RemovalTime);
  }
}

void StandinCloud::eraseName(std::string const &Name) {
  std::erase_if(CurrentListing_.EntryInstances_,
                [&](ListedEntryInstance const &Candidate) {
                  return Candidate.Instance_.Id_.text() == Name;
                });
  std::erase_if(CurrentListing_.Servers_, [&](ListedServer const &Candidate) {
    return Candidate.Id_.text() == Name;
  });
}

void StandinCloud::markLeaving(std::string const &Name) {
  for (auto &Entry : CurrentListing_.EntryInstances_) {
    if (Entry.Instance_.Id_.text() != Name)
      continue;
    Entry.Liveness_ = Liveness::Leaving;
    return;
  }
  for (auto &Server : CurrentListing_.Servers_) {
    if (Server.Id_.text() != Name)
      continue;
    Server.Liveness_ = Liveness::Leaving;
    return;
  }
  CurrentListing_.Servers_.push_back({ServerId(Name), Liveness::Leaving});
}

void StandinCloud::record(TimePoint Since) {
  Snapshots_.push_back({Since, CurrentListing_});
}

} // namespace laburnum
