#include "ModelPlatform.h"

#include <LibPlatform/PlatformCodec.h>
#include <PlatformStandin/StandinCodec.h>

#include <algorithm>

namespace laburnum::bench {

/// Round-trip time of a call that does not wait.
static constexpr Duration AnswerTime = std::chrono::milliseconds(5);
/// Time until a call to an unreachable platform fails.
static constexpr Duration FailureTime = std::chrono::seconds(2);
/// The HTTP heads of a call and its answer and the headers of four packets.
static constexpr std::size_t CallBytes = 500;

bool ModelPlatform::isReachable(DataCentre const &From) const {
  return !IsDown_ && !PartitionedCentres_.contains(From);
}

template <typename Answer>
bool ModelPlatform::begin(DataCentre const &From,
                          Callback<Answer> const &Reply) {
  ++Counters_.Reads_;
  Counters_.Bytes_ += CallBytes;
  if (isReachable(From))
    return true;
  ++Counters_.Failed_;
  Time_.after(FailureTime, [Reply] {
    Reply(Error{ErrorKind::Unavailable, "the platform is not reached",
                "wait until it is"});
  });
  return false;
}

ConfigurationObject ModelPlatform::change(ObjectName const &Name,
                                          std::string const &Specification) {
  StoredConfiguration Stored;
  Stored.Specification_ = Specification;
  Stored.LastChange_ = ChangeId("change-" + std::to_string(Version_));
  Stored.Audit_ = {{Stored.LastChange_, ChangeKind::Apply, "operator", 0, 0}};
  StoredObject const Object{
      {toString(Name.Kind_), Name.Name_}, ++Version_, encodeStored(Stored)};
  Objects_[Name] = Object;
  std::vector<std::uint64_t> Due;
  for (auto const &One : Watches_)
    if (One.Kind_ == Name.Kind_)
      Due.push_back(One.Number_);
  Time_.after(AnswerTime, [this, Due] {
    for (auto const Number : Due)
      endWatch(Number);
  });
  return {Name, Object.Version_, false, Specification};
}

std::vector<ConfigurationObject> ModelPlatform::objects() const {
  std::vector<ConfigurationObject> Found;
  for (auto const &[Name, Object] : Objects_) {
    auto Decoded = configurationObjectOf(Name.Kind_, Object);
    if (!isError(Decoded))
      Found.push_back(takeValue(std::move(Decoded)));
  }
  return Found;
}

std::vector<StoredObject> ModelPlatform::after(ObjectKind Kind,
                                               Version From) const {
  std::vector<StoredObject> Found;
  for (auto const &[Name, Object] : Objects_)
    if (Name.Kind_ == Kind && Object.Version_ > From)
      Found.push_back(Object);
  return Found;
}

void ModelPlatform::list(DataCentre const &From, ObjectKind Kind,
                         Callback<ObjectList> Answer) {
  if (!begin(From, Answer))
    return;
  ObjectList const List{Version_, after(Kind, 0)};
  for (auto const &One : List.Objects_)
    Counters_.Bytes_ += One.Value_.size();
  Time_.after(AnswerTime, [Answer, List] { Answer(List); });
}

void ModelPlatform::watch(DataCentre const &From, ObjectKind Kind,
                          Version After, Duration Wait,
                          Callback<WatchBatch> Answer) {
  if (!begin(From, Answer))
    return;
  auto const Number = NextWatch_++;
  Watches_.push_back({Number, Kind, After, std::move(Answer)});
  auto const Pause = after(Kind, After).empty() ? Wait : AnswerTime;
  Time_.after(Pause, [this, Number] { endWatch(Number); });
}

void ModelPlatform::endWatch(std::uint64_t Number) {
  auto const Found =
      std::find_if(Watches_.begin(), Watches_.end(),
                   [&](Watch const &One) { return One.Number_ == Number; });
  if (Found == Watches_.end())
    return;
  auto const Ended = *Found;
  Watches_.erase(Found);
  WatchBatch const Batch{WatchContinuity::Complete, Version_,
                         after(Ended.Kind_, Ended.After_)};
  for (auto const &One : Batch.Objects_)
    Counters_.Bytes_ += One.Value_.size();
  Ended.Answer_(Batch);
}

void ModelPlatform::addInstance(EntryInstance const &Instance) {
  Instances_[Instance.Id_] = Instance;
  Listing_.reset();
}

void ModelPlatform::removeInstance(InstanceId const &Id) {
  Instances_.erase(Id);
  Listing_.reset();
}

void ModelPlatform::addServer(ServerId const &Id) {
  Servers_.push_back(Id);
  Listing_.reset();
}

void ModelPlatform::makeListing() {
  InstanceListing NewListing;
  for (auto const &[Id, Instance] : Instances_)
    NewListing.EntryInstances_.push_back({Instance, Liveness::Live});
  for (auto const &Id : Servers_)
    NewListing.Servers_.push_back({Id, Liveness::Live});
  auto const Text = encode(NewListing).dump();
  ListingBytes_ = Text.size();
  CpuMeter DecodeMeter;
  DecodeMeter.measure(Work::InstanceList,
                      [&] { return decodeInstanceListing(Text).has_value(); });
  ListingCpu_ = DecodeMeter.total();
  Listing_ = std::make_shared<InstanceListing const>(std::move(NewListing));
}

void ModelPlatform::fetchInstances(DataCentre const &From,
                                   Callback<Listing> Answer) {
  if (!begin(From, Answer))
    return;
  if (!Listing_)
    makeListing();
  Counters_.Bytes_ += ListingBytes_;
  Cpu_.add(Work::InstanceList, ListingCpu_);
  Time_.after(AnswerTime, [Answer, Current = Listing_] { Answer(Current); });
}

void ModelPlatform::notices(DataCentre const &From, Duration Wait,
                            Callback<NoticeBatch> Answer) {
  if (begin(From, Answer))
    Time_.after(Wait, [Answer] { Answer(NoticeBatch{}); });
}

} // namespace laburnum::bench
