#include <LibControl/UsageReporter.h>

#include <LibCore/JsonDump.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace laburnum {

namespace {

using Json = nlohmann::json;

constexpr char const *CountsCollection = "entry-usage";
constexpr std::chrono::milliseconds StoreTimeout{1000};
constexpr std::chrono::milliseconds ReportTimeout{1000};
/// Delay after a window's end, for requests whose first event is in flight and
/// for differences between clocks.
constexpr std::chrono::milliseconds PublishDelay{700};
/// Delay after a window's end until the lease holder first adds up the counts.
constexpr std::chrono::milliseconds CollectDelay{1800};
/// Fraction of the time until the report is due after which the holder no
/// longer waits for instances that have not written their counts.
constexpr double WaitShare = 0.35;
constexpr std::chrono::milliseconds RetryPause{700};
/// Number of windows kept in an instance's record and in the settled counts.
constexpr std::int64_t RetainedWindows = 6;

/// The settled record holds, beside the windows, the era of the store in which
/// it was written. It looks like a window, so that earlier releases can read
/// it.
constexpr std::int64_t EraWindow = -1;
constexpr char const *EraName = "era";

StoreEra writtenEra(UsageRecord const &Record) {
  auto const Found = Record.Windows_.find(EraWindow);
  if (Found == Record.Windows_.end())
    return 0;
  auto const Era = Found->second.find(AccountName(EraName));
  return Era == Found->second.end() ? 0 : Era->second;
}

ObjectKey settledKey() { return {"entry-usage-settled", "windows"}; }

Json encodeWindows(std::map<std::int64_t, UsageCounts> const &Windows) {
  Json Value = Json::object();
  for (auto const &[Window, Counts] : Windows) {
    auto &Entry = Value[std::to_string(Window)] = Json::object();
    for (auto const &[Account, Count] : Counts)
      Entry[Account.text()] = Count;
  }
  return Value;
}

} // namespace

std::string encodeUsage(UsageRecord const &Record) {
  return dumpJson(encodeWindows(Record.Windows_));
}

std::optional<UsageRecord> decodeUsage(std::string const &Text) {
  auto const Value = Json::parse(Text, nullptr, false);
  UsageRecord Record;
  if (!Value.is_object())
    return std::nullopt;
  try {
    for (auto const &[Window, Counts] : Value.items()) {
      auto &Into = Record.Windows_[std::stoll(Window)];
      for (auto const &[Account, Count] : Counts.items())
        Into[AccountName(Account)] = Count.get<std::uint64_t>();
    }
  } catch (std::exception const &) {
    return std::nullopt; // Not written by this system.
  }
  return Record;
}

namespace {

/// Decodes the records by the name of the incarnation that wrote them; objects
/// that are no usage records are skipped.
std::map<std::string, UsageRecord> decodeAll(ObjectList const &Listed) {
  std::map<std::string, UsageRecord> Decoded;
  for (auto const &Object : Listed.Objects_)
    if (auto const Record = decodeUsage(Object.Value_))
      Decoded[Object.Key_.Name_] = *Record;
  return Decoded;
}

} // namespace

UsageReporter::UsageReporter(AsyncObjectStore &Store, FencedPlatformApi &Duties,
                             UsageCounter &Counter, Settings Settings, Log Log,
                             FencedOut FencedOut)
    : Store_(Store), Duties_(Duties), Counter_(Counter),
      Settings_(std::move(Settings)), Log_(std::move(Log)),
      OnFencedOut_(std::move(FencedOut)) {}

void UsageReporter::tick(std::optional<Fence> const &Fence,
                         Duration MedianTime) {
  Fence_ = Fence;
  LastTick_ = MedianTime;
  publish(MedianTime);
  if (!Fence_ || IsReporting_ || MedianTime < NotBefore_)
    return;
  if (std::exchange(MustSettleAgain_, false))
    return settleAgain();
  if (auto const Window = nextWindow(MedianTime))
    collect(*Window, MedianTime);
}

void UsageReporter::onStoreRestored() {
  Settled_.reset();
  MustSettleAgain_ = Fence_.has_value();
}

void UsageReporter::onPeer(std::string const &Incarnation,
                           std::vector<WindowUsage> const &Usage,
                           Duration MedianTime) {
  auto &ReportedUsage = Peers_[Incarnation];
  ReportedUsage.At_ = MedianTime;
  for (auto const &Item : Usage) {
    auto &Count = ReportedUsage.Record_.Windows_[Item.Window_][Item.Account_];
    Count = std::max(Count, Item.Count_);
  }
  auto &Windows = ReportedUsage.Record_.Windows_;
  Windows.erase(
      Windows.begin(),
      Windows.lower_bound(Counter_.windowOf(MedianTime) - RetainedWindows));
}

void UsageReporter::publish(Duration MedianTime) {
  auto const Last = Counter_.windowOf(MedianTime - PublishDelay) - 1;
  Counter_.forgetBefore(Last - RetainedWindows);
  if (IsPublishing_ || Last <= Published_ ||
      Connectivity_ == PeerConnectivity::Full)
    return;
  UsageRecord Record{Counter_.since(Last - RetainedWindows + 1)};
  if (Record.Windows_.empty())
    return; // The holder waits only for instances that have run requests.
  IsPublishing_ = true;
  Record.Windows_.erase(Record.Windows_.upper_bound(Last),
                        Record.Windows_.end());
  // An empty window is written, too, to state that nothing ran here.
  Record.Windows_[Last];
  Store_.put({CountsCollection, Settings_.Incarnation_}, encodeUsage(Record),
             StoreTimeout,
             [Self = shared_from_this(), Last](Result<Version> const &Written) {
               Self->IsPublishing_ = false;
               if (!isError(Written))
                 Self->Published_ = Last;
             });
}

void UsageReporter::publishAll(std::function<void()> Done) {
  UsageRecord const Record{Counter_.since(0)};
  Store_.put({CountsCollection, Settings_.Incarnation_}, encodeUsage(Record),
             StoreTimeout,
             [Done = std::move(Done)](Result<Version> const &) { Done(); });
}

/// Returns the first window that has yet to be reported and can be collected.
std::optional<std::int64_t>
UsageReporter::nextWindow(Duration MedianTime) const {
  auto const Newest = Counter_.windowOf(MedianTime - CollectDelay) - 1;
  for (auto Window =
           std::max({Reported_ + 1, Newest - RetainedWindows + 1, FirstDue_});
       Window <= Newest; ++Window)
    if (Counter_.endOf(Window) + Settings_.Due_ > MedianTime)
      return Window;
  return std::nullopt;
}

void UsageReporter::collect(std::int64_t Window, Duration MedianTime) {
  IsReporting_ = true;
  // While all peers report directly, the list is needed only for the records
  // that previous incarnations left.
  auto const Consistency = Connectivity_ == PeerConnectivity::Full
                               ? ReadConsistency::MayLag
                               : ReadConsistency::Latest;
  Store_.list(CountsCollection, Consistency, StoreTimeout,
              [Self = shared_from_this(), Window,
               MedianTime](Result<ObjectList> const &Listed) {
                if (isError(Listed))
                  return Self->finish(Window, "collect_failed",
                                      errorOf(Listed).Message_);
                Self->add(Window, decodeAll(valueOf(Listed)), MedianTime);
              });
}

UsageReporter::IncarnationRecords
UsageReporter::merge(IncarnationRecords IncarnationRecords) const {
  auto const Add = [&](std::string const &Incarnation,
                       UsageRecord const &Record) {
    for (auto const &[Window, Counts] : Record.Windows_)
      for (auto const &[Account, Count] : Counts) {
        auto &Merged =
            IncarnationRecords[Incarnation].Windows_[Window][Account];
        Merged = std::max(Merged, Count);
      }
  };
  for (auto const &[Incarnation, ReportedUsage] : Peers_)
    Add(Incarnation, ReportedUsage.Record_);
  Add(Settings_.Incarnation_, {Counter_.since(0)});
  return IncarnationRecords;
}

/// Whether counts of an incarnation may still be missing: it counted in the
/// previous window and has sent nothing since the end of this one.
bool UsageReporter::isReportPending(std::string const &Incarnation,
                                    UsageRecord const &Record,
                                    std::int64_t Window) const {
  if (Incarnation == Settings_.Incarnation_ ||
      !Record.Windows_.contains(Window - 1))
    return false;
  auto const Found = Peers_.find(Incarnation);
  if (Found != Peers_.end() && Found->second.At_ > Counter_.endOf(Window))
    return false;
  return Record.Windows_.rbegin()->first <= Window;
}

void UsageReporter::add(std::int64_t Window, IncarnationRecords const &Listed,
                        Duration MedianTime) {
  UsageCounts Sum;
  std::string Missing;
  for (auto const &[Incarnation, Record] : merge(Listed)) {
    if (Record.Windows_.empty())
      continue;
    if (isReportPending(Incarnation, Record, Window))
      Missing += Incarnation + ' ';
    auto const Found = Record.Windows_.find(Window);
    if (Found == Record.Windows_.end())
      continue;
    for (auto const &[Account, Count] : Found->second)
      Sum[Account] += Count;
  }
  // Remove the records of incarnations that ended long ago.
  for (auto const &[Incarnation, Record] : Listed) {
    if (!Record.Windows_.empty() &&
        Record.Windows_.rbegin()->first + RetainedWindows >= Window)
      continue;
    Store_.remove({CountsCollection, Incarnation}, StoreTimeout,
                  [](Result<Success> const &) {
                    // Retried with the next window.
                  });
  }
  auto const GiveUpAt =
      Counter_.endOf(Window) +
      Duration(static_cast<Duration::rep>(
          static_cast<double>(Settings_.Due_.count()) * WaitShare));
  if (!Missing.empty() && MedianTime < GiveUpAt)
    return finish(Window, "waiting", Missing);
  settle(Window, std::move(Sum));
}

void UsageReporter::settle(std::int64_t Window, UsageCounts Counts) {
  // The counts last written by this instance are still current, or the next
  // conditional write fails.
  if (Settled_)
    return settleIn(*Settled_, Window, std::move(Counts));
  Store_.get(
      settledKey(), ReadConsistency::Latest, StoreTimeout,
      [Self = shared_from_this(), Window,
       Counts = std::move(Counts)](Result<StoredObject> const &Read) {
        if (isError(Read))
          return Self->finish(Window, "settle_failed", errorOf(Read).Message_);
        auto const Known = settledFrom(valueOf(Read));
        if (!Self->isComplete(Known)) {
          // Nobody else can report later windows.
          Self->FirstDue_ = Self->Counter_.windowOf(Self->LastTick_);
          Self->CompleteIn_ = Known.Era_;
          return Self->finish(Window, "left_out", "the store was restored");
        }
        Self->settleIn(Known, Window, Counts);
      });
}

UsageReporter::Settled UsageReporter::settledFrom(StoredObject const &Object) {
  return {decodeUsage(Object.Value_).value_or(UsageRecord{}), Object.Version_,
          Object.Era_};
}

/// Returns whether no window can be missing that was reported before the store
/// was restored: the record is of this era, or this instance held the lease
/// through the restoration.
bool UsageReporter::isComplete(Settled const &Known) const {
  bool const IsFirstEra = Known.Version_ == 0 && Known.Era_ <= 1;
  return IsFirstEra || writtenEra(Known.Record_) == Known.Era_ ||
         CompleteIn_ == Known.Era_;
}

/// Writes again what the store may have lost, so that the next holder knows it.
void UsageReporter::settleAgain() {
  IsReporting_ = true;
  Store_.get(
      settledKey(), ReadConsistency::Latest, StoreTimeout,
      [Self = shared_from_this()](Result<StoredObject> const &Read) {
        auto const Last = Self->Reported_;
        if (isError(Read)) {
          Self->MustSettleAgain_ = true;
          return Self->finish(Last, "settle_failed", errorOf(Read).Message_);
        }
        auto Known = settledFrom(valueOf(Read));
        Self->CompleteIn_ = Known.Era_;
        Self->write(std::move(Known),
                    [Self, Last] { Self->finish(Last, "settled_again", {}); });
      });
}

void UsageReporter::write(Settled Known, std::function<void()> Done) {
  auto &Windows = Known.Record_.Windows_;
  Windows.insert(OwnSettled_.Windows_.begin(), OwnSettled_.Windows_.end());
  Windows[EraWindow] = {{AccountName(EraName), Known.Era_}};
  Settled_.reset();
  Store_.putIf(
      settledKey(), Known.Version_, encodeUsage(Known.Record_), StoreTimeout,
      [Self = shared_from_this(), Known,
       Done = std::move(Done)](Result<Version> const &Written) {
        // The next attempt reads the outcome of the write.
        if (isError(Written))
          return Self->finish(Self->Reported_, "settle_failed",
                              errorOf(Written).Message_);
        Self->Settled_ = Settled{Known.Record_, valueOf(Written), Known.Era_};
        Self->OwnSettled_ = Known.Record_;
        Done();
      });
}

void UsageReporter::settleIn(Settled Known, std::int64_t Window,
                             UsageCounts Counts) {
  auto &Windows = Known.Record_.Windows_;
  Windows.insert(OwnSettled_.Windows_.begin(), OwnSettled_.Windows_.end());
  if (auto const Found = Windows.find(Window); Found != Windows.end())
    return report(Window, Found->second);
  Windows[Window] = Counts;
  std::erase_if(Windows, [&](auto const &Entry) {
    return Entry.first < Window - RetainedWindows;
  });
  write(std::move(Known),
        [Self = shared_from_this(), Window, Counts = std::move(Counts)] {
          Self->report(Window, Counts);
        });
}

void UsageReporter::report(std::int64_t Window, UsageCounts const &Counts) {
  if (!Fence_)
    return finish(Window, "lease_lost", {});
  Duties_.reportUsage(
      *Fence_, Window, Counts, ReportTimeout,
      [Self = shared_from_this(), Window](Result<Success> const &Sent) {
        if (!isError(Sent)) {
          Self->Reported_ = Window;
          return Self->finish(Window, "reported", {});
        }
        if (errorOf(Sent).Kind_ == ErrorKind::Conflict)
          Self->OnFencedOut_();
        Self->finish(Window, "report_failed", errorOf(Sent).Message_);
      });
}

void UsageReporter::finish(std::int64_t Window, std::string const &Step,
                           std::string const &Detail) {
  IsReporting_ = false;
  if (Step != "reported")
    NotBefore_ = LastTick_ + RetryPause;
  Log_(Window, Step, Detail);
}

} // namespace laburnum
