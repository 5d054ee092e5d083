#include <LibControl/CrashRecords.h>

#include <LibCore/JsonDump.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace laburnum {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds StoreTimeout{1500};
/// Reads at the start. The first may lag by some seconds; the second includes
/// everything written before the start.
constexpr std::uint32_t LoadsAtStart = 2;
constexpr std::chrono::seconds LoadInterval{5};
/// Backoff after failed calls; doubles with each.
constexpr std::chrono::seconds InitialBackoff{1};
constexpr std::uint32_t MaxDoublings = 4;
/// Time for which guards count a crash.
constexpr std::chrono::minutes Lifetime{10};
/// Limit of the stored reports: far more than three crashes of each content
/// refused within ten minutes.
constexpr std::size_t MaxRecords = 300;

constexpr std::array<std::pair<CrashEvidence, char const *>, 5> EvidenceNames{
    {{CrashEvidence::BrokenOff, "broken_off"},
     {CrashEvidence::ServerLost, "server_lost"},
     {CrashEvidence::Crashed, "crashed"},
     {CrashEvidence::CrashedAlone, "crashed_alone"},
     {CrashEvidence::Cleared, "cleared"}}};

std::string nameOf(CrashEvidence Evidence) {
  for (auto const &[Listed, Name] : EvidenceNames)
    if (Listed == Evidence)
      return Name;
  return {};
}

std::optional<CrashEvidence> evidenceOf(std::string const &Name) {
  for (auto const &[Evidence, Listed] : EvidenceNames)
    if (Name == Listed)
      return Evidence;
  return std::nullopt;
}

ObjectKey recordsKey() { return {"entry-crashes", "contents"}; }

std::int64_t milliseconds(Duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

} // namespace

void CrashRecords::save(std::vector<CrashReport> const &Reports,
                        Duration TimeOfDay) {
  for (auto const &Item : Reports)
    Unsaved_[Item.Incident_] = {Item, TimeOfDay - Item.Age_};
}

void CrashRecords::tick(Duration TimeOfDay, TimePoint Now) {
  Now_ = Now;
  if (IsBusy_ || Now < NotBefore_)
    return;
  if (!Unsaved_.empty())
    load(ReadConsistency::Latest, TimeOfDay);
  else if (CompletedLoads_ < LoadsAtStart && Now >= NextLoadAt_)
    load(ReadConsistency::MayLag, TimeOfDay);
}

void CrashRecords::load(ReadConsistency Consistency, Duration TimeOfDay) {
  IsBusy_ = true;
  Store_.get(recordsKey(), Consistency, StoreTimeout,
             [Self = shared_from_this(), Consistency,
              TimeOfDay](Result<StoredObject> const &Read) {
               Self->IsBusy_ = false;
               if (isError(Read))
                 return Self->backOff(Self->Now_);
               Self->Failures_ = 0;
               ++Self->CompletedLoads_;
               Self->NextLoadAt_ = Self->Now_ + LoadInterval;
               auto const &Object = valueOf(Read);
               auto Stored = Object.Version_ == 0
                                 ? Records()
                                 : decode(Object.Value_, TimeOfDay);
               prune(Stored, TimeOfDay);
               std::vector<CrashReport> Reports;
               for (auto const &[Name, Item] : Stored) {
                 Reports.push_back(Item.Report_);
                 Reports.back().Age_ =
                     std::max(TimeOfDay - Item.At_, Duration(0));
               }
               if (!Reports.empty())
                 Self->Restored_(Reports);
               if (Consistency == ReadConsistency::Latest)
                 Self->write(Object.Version_, std::move(Stored), TimeOfDay);
             });
}

void CrashRecords::write(Version Expected, Records Stored, Duration TimeOfDay) {
  auto const Sent = Unsaved_;
  for (auto const &[Name, Item] : Sent)
    Stored[Name] = Item;
  prune(Stored, TimeOfDay);
  IsBusy_ = true;
  Store_.putIf(recordsKey(), Expected, encode(Stored), StoreTimeout,
               [Self = shared_from_this(), Sent](Result<Version> const &Done) {
                 Self->IsBusy_ = false;
                 // After a conflict or a lost answer the object is read again.
                 if (isError(Done))
                   return Self->backOff(Self->Now_);
                 for (auto const &[Name, Item] : Sent) {
                   auto const Found = Self->Unsaved_.find(Name);
                   if (Found != Self->Unsaved_.end() &&
                       Found->second.Report_ == Item.Report_)
                     Self->Unsaved_.erase(Found);
                 }
               });
}

void CrashRecords::backOff(TimePoint Now) {
  NotBefore_ = Now + InitialBackoff * (1U << std::min(Failures_, MaxDoublings));
  ++Failures_;
}

void CrashRecords::prune(Records &Stored, Duration TimeOfDay) {
  std::erase_if(Stored, [&](auto const &Entry) {
    return TimeOfDay - Entry.second.At_ >= Lifetime;
  });
  while (Stored.size() > MaxRecords)
    Stored.erase(std::min_element(Stored.begin(), Stored.end(),
                                  [](auto const &Left, auto const &Right) {
                                    return Left.second.At_ < Right.second.At_;
                                  }));
}

std::string CrashRecords::encode(Records const &Stored) {
  auto Crashes = json::array();
  for (auto const &[Name, Item] : Stored)
    Crashes.push_back({{"incident", Name},
                       {"content", Item.Report_.Fingerprint_},
                       {"server", Item.Report_.Server_.text()},
                       {"evidence", nameOf(Item.Report_.Evidence_)},
                       {"at_ms", milliseconds(Item.At_)}});
  return dumpJson({{"crashes", Crashes}});
}

CrashRecords::Records CrashRecords::decode(std::string const &Text,
                                           Duration TimeOfDay) {
  Records Stored;
  auto const Value = json::parse(Text, nullptr, false);
  try {
    for (auto const &Entry : Value.at("crashes")) {
      Record Item;
      Item.Report_.Incident_ = Entry.at("incident").get<std::uint64_t>();
      Item.Report_.Fingerprint_ = Entry.at("content").get<std::uint64_t>();
      Item.Report_.Server_ = ServerId(Entry.at("server").get<std::string>());
      // Compared in milliseconds, as it may be too large for a Duration.
      Item.At_ = std::chrono::milliseconds(std::min(
          Entry.at("at_ms").get<std::int64_t>(), milliseconds(TimeOfDay)));
      if (auto const Evidence =
              evidenceOf(Entry.at("evidence").get<std::string>())) {
        Item.Report_.Evidence_ = *Evidence;
        Stored[Item.Report_.Incident_] = Item;
      }
    }
  } catch (json::exception const &) {
    // Not written by this system: ignored, and overwritten by the next write.
    return {};
  }
  return Stored;
}

} // namespace laburnum
