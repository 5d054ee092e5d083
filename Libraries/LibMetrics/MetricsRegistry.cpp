#include <LibMetrics/MetricsRegistry.h>

#include <algorithm>

namespace laburnum {

Counter &MetricsRegistry::counter(std::string const &Name,
                                  std::string const &Unit) {
  std::lock_guard const Lock(Mutex_);
  auto &Entry = Counters_[Name];
  if (!Entry.Counter_)
    Entry = {Unit, std::make_unique<Counter>()};
  return *Entry.Counter_;
}

Distribution &MetricsRegistry::distribution(std::string const &Name,
                                            std::string const &Unit) {
  std::lock_guard const Lock(Mutex_);
  auto &Entry = Distributions_[Name];
  if (!Entry.Distribution_)
    Entry = {Unit, std::make_unique<Distribution>()};
  return *Entry.Distribution_;
}

void MetricsRegistry::addCallbackCounter(std::string const &Name,
                                         std::string const &Unit,
                                         std::function<std::uint64_t()> Read) {
  std::lock_guard const Lock(Mutex_);
  CallbackCounters_[Name] = {Unit, std::move(Read)};
}

std::vector<MetricSnapshot>
MetricsRegistry::snapshot(std::string const &Prefix) {
  std::lock_guard const Lock(Mutex_);
  std::vector<MetricSnapshot> Snapshots;
  for (auto const &[Name, Entry] : Counters_)
    if (Name.starts_with(Prefix))
      Snapshots.push_back({Name, Entry.Unit_, Entry.Counter_->count()});
  for (auto const &[Name, Entry] : CallbackCounters_)
    if (Name.starts_with(Prefix))
      Snapshots.push_back({Name, Entry.Unit_, Entry.Read_()});
  for (auto const &[Name, Entry] : Distributions_) {
    if (!Name.starts_with(Prefix))
      continue;
    Snapshots.push_back(Entry.Distribution_->snapshot());
    Snapshots.back().Name_ = Name;
    Snapshots.back().Unit_ = Entry.Unit_;
  }
  std::sort(Snapshots.begin(), Snapshots.end());
  return Snapshots;
}

} // namespace laburnum
