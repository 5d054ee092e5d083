#include <EngineStandin/EngineCore.h>
#include <LibCore/Hash.h>

#include <algorithm>
#include <array>

namespace laburnum {

std::string tokenText(std::string const &Prompt, std::uint32_t Offset) {
  static constexpr std::array<char const *, 16> Syllables = {
      "ka", "mo", "ri", "su", "te", "no", "ha", "yu",
      "wa", "mi", "ro", "ku", "se", "na", "hi", "yo"};
  auto const Hash = stableHash(std::to_string(Offset), stableHash(Prompt));
  std::string Text = " ";
  for (int Shift = 0; Shift < 12; Shift += 4)
    Text += Syllables.at((Hash >> Shift) & 0xF);
  return Text;
}

EngineCore::EngineCore(EngineSettings Settings)
    : Settings_(std::move(Settings)),
      Cache_(Settings_.PrefixCacheTokens_, Settings_.RetainedEvents_,
             Settings_.DroppedEventInterval_) {}

static bool matchesGenerated(CompletionCall const &Call) {
  if (Call.ResumeFrom_ != Call.Produced_.size())
    return false;
  for (std::uint32_t Offset = 0; Offset < Call.ResumeFrom_; ++Offset)
    if (Call.Produced_[Offset] != tokenText(Call.Prompt_, Offset))
      return false;
  return true;
}

bool EngineCore::isKnown(StreamKey const &Stream) const {
  return Running_.contains(Stream) ||
         std::any_of(Queue_.begin(), Queue_.end(), [&](auto const &One) {
           auto const &Call = One.second.Call_;
           return StreamKey{Call.Request_, Call.Attempt_} == Stream;
         });
}

Result<Success> EngineCore::submit(CompletionCall const &Call, TimePoint Now) {
  if (!matchesGenerated(Call))
    return Error{ErrorKind::InvalidArgument,
                 "produced differs from what the model produces",
                 "resume with the tokens of an earlier attempt"};
  if (isKnown({Call.Request_, Call.Attempt_}))
    return Error{ErrorKind::Conflict, "the attempt is in progress",
                 "use the next attempt number"};
  Job One;
  One.Call_ = Call;
  One.NextOffset_ = Call.ResumeFrom_;
  One.Tokens_ = tokensOf(Call.Prompt_);
  One.KvTokens_ = One.Tokens_.size() + Call.MaxTokens_;
  One.Tokens_.insert(One.Tokens_.end(), Call.Produced_.begin(),
                     Call.Produced_.end());
  if (One.KvTokens_ > Settings_.KvTokens_)
    return Error{ErrorKind::InvalidArgument,
                 "the request does not fit in the KV memory",
                 "shorten the prompt or max_tokens"};
  Queue_.emplace(QueueKey{-std::int64_t{Call.Priority_}, Arrivals_++},
                 std::move(One));
  admit(Now);
  recordLoad(Now);
  return Success{};
}

/// Considers only the head of the queue, so that small requests do not starve a
/// large one.
void EngineCore::admit(TimePoint Now) {
  while (!Queue_.empty() && Running_.size() < Settings_.Slots_) {
    auto const Head = Queue_.begin();
    if (KvTokens_ + Head->second.KvTokens_ > Settings_.KvTokens_)
      return;
    Job One = std::move(Head->second);
    Queue_.erase(Head);
    start(std::move(One), Now);
  }
}

void EngineCore::start(Job One, TimePoint Now) {
  auto const Blocks = blockHashes(One.Tokens_);
  One.Computed_ =
      static_cast<std::uint32_t>(One.Tokens_.size() - Cache_.match(Blocks));
  Cache_.store(Blocks);
  std::uint64_t const Rate =
      std::max<std::uint32_t>(Settings_.PrefillTokensPerSecond_, 1);
  Duration const Prefill{One.Computed_ * std::uint64_t{std::micro::den} / Rate};
  One.NextDue_ = Now + Prefill + Settings_.TokenInterval_;
  KvTokens_ += One.KvTokens_;
  ++Counts_.Started_;
  Counts_.PromptTokensComputed_ += One.Computed_;
  StreamKey const Stream{One.Call_.Request_, One.Call_.Attempt_};
  Running_.emplace(Stream, std::move(One));
}

void EngineCore::cancel(StreamKey const &Stream, TimePoint Now) {
  auto const Found = Running_.find(Stream);
  if (Found != Running_.end()) {
    ++Counts_.Cancelled_;
    end(Found, Now);
    return;
  }
  auto const Erased = std::erase_if(Queue_, [&](auto const &One) {
    auto const &Call = One.second.Call_;
    return StreamKey{Call.Request_, Call.Attempt_} == Stream;
  });
  Counts_.Cancelled_ += Erased;
  recordLoad(Now);
}

std::map<StreamKey, EngineCore::Job>::iterator EngineCore::earliestDue() {
  return std::min_element(Running_.begin(), Running_.end(),
                          [](auto const &Left, auto const &Right) {
                            return Left.second.NextDue_ < Right.second.NextDue_;
                          });
}

std::optional<TimePoint> EngineCore::nextDue() const {
  std::optional<TimePoint> Next;
  for (auto const &[Stream, One] : Running_)
    if (!Next || One.NextDue_ < *Next)
      Next = One.NextDue_;
  return Next;
}

std::vector<EngineOutput> EngineCore::advance(TimePoint Now) {
  std::vector<EngineOutput> Outputs;
  for (auto At = earliestDue();
       At != Running_.end() && At->second.NextDue_ <= Now; At = earliestDue())
    produce(At, Outputs);
  return Outputs;
}

void EngineCore::produce(std::map<StreamKey, Job>::iterator At,
                         std::vector<EngineOutput> &Outputs) {
  auto &[Stream, One] = *At;
  auto const &Call = One.Call_;
  bool const Crashes =
      !Settings_.CrashMarker_.empty() &&
      Call.Prompt_.find(Settings_.CrashMarker_) != std::string::npos;
  if (Crashes && One.Generated_ >= Settings_.CrashAfterTokens_)
    Outputs.push_back({Stream, EngineCrash{}});
  if (One.NextOffset_ < Call.MaxTokens_) {
    auto Text = tokenText(Call.Prompt_, One.NextOffset_);
    One.Tokens_.push_back(Text);
    Outputs.push_back(
        {Stream, TokenPiece{Call.Attempt_, One.NextOffset_, std::move(Text)}});
    ++One.NextOffset_;
    ++One.Generated_;
    ++Counts_.TokensGenerated_;
  }
  if (One.NextOffset_ < Call.MaxTokens_) {
    One.NextDue_ += Settings_.TokenInterval_;
    return;
  }
  auto const Ended = Stream;
  auto const Computed = One.Computed_;
  ++Counts_.Finished_;
  end(At, One.NextDue_);
  Outputs.push_back({Ended, CompletionDone{Computed, load().Load_}});
}

void EngineCore::end(std::map<StreamKey, Job>::iterator At, TimePoint Now) {
  Cache_.store(blockHashes(At->second.Tokens_));
  KvTokens_ -= At->second.KvTokens_;
  Running_.erase(At);
  admit(Now);
  recordLoad(Now);
}

EngineLoad EngineCore::load() const {
  LoadReport const Load{static_cast<std::uint32_t>(Running_.size()),
                        static_cast<std::uint32_t>(Queue_.size())};
  return {Load, KvTokens_};
}

void EngineCore::recordLoad(TimePoint Now) {
  LoadHistory_.emplace_back(Now, load());
  // laggingLoad() needs the newest entry that is at least as old as the lag.
  while (LoadHistory_.size() > 1 &&
         LoadHistory_[1].first + Settings_.LoadLag_ <= Now)
    LoadHistory_.pop_front();
}

EngineLoad EngineCore::laggingLoad(TimePoint Now) const {
  EngineLoad Lagging;
  for (auto const &[Time, Load] : LoadHistory_)
    if (Time + Settings_.LoadLag_ <= Now)
      Lagging = Load;
  return Lagging;
}

CacheEvents EngineCore::eventsFrom(std::uint64_t Sequence) const {
  return Cache_.eventsFrom(Sequence);
}

Result<std::vector<std::uint64_t>>
EngineCore::exportBlocks(RequestId const &Request) {
  for (auto const &[Stream, One] : Running_)
    if (Stream.Request_ == Request)
      return blockHashes(One.Tokens_);
  return Error{ErrorKind::NotFound, "the request does not run here",
               "resume it from its tokens"};
}

void EngineCore::importBlocks(std::vector<std::uint64_t> const &Blocks) {
  Cache_.store(Blocks);
}

Result<Success> EngineCore::order(EngineOrder const &Order) {
  bool const IsOld = Order.Fencing_ < HighestFencing_;
  if (IsOld && Settings_.Fencing_ == FencingCheck::Honoured)
    return Error{ErrorKind::Conflict, "a newer fencing number was seen",
                 "give up the lease and read the state again"};
  HighestFencing_ = std::max(HighestFencing_, Order.Fencing_);
  if (AppliedOrders_.insert(Order.OrderId_).second)
    Orders_.push_back(Order);
  return Success{};
}

} // namespace laburnum
