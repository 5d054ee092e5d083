#include <EngineStandin/EngineCore.h>
#include <catch2/catch.hpp>

using namespace laburnum;

static CompletionCall callOf(char const *Name, std::int32_t Priority = 0) {
  CompletionCall Call;
  Call.Request_ = RequestId(Name);
  Call.Prompt_ = "label check";
  Call.MaxTokens_ = 2;
  Call.Priority_ = Priority;
  return Call;
}

static StreamKey keyOf(char const *Name) { return {RequestId(Name), 1}; }

static EngineSettings oneSlot() {
  EngineSettings Settings;
  Settings.Slots_ = 1;
  return Settings;
}

static constexpr TimePoint Start{};
static constexpr TimePoint Later = Start + std::chrono::hours(1);

TEST_CASE("Requests beyond the slots wait in the order of priority") {
  EngineCore Engine(oneSlot());
  for (auto const &Call : {callOf("a"), callOf("b"), callOf("c", 5)})
    REQUIRE_FALSE(isError(Engine.submit(Call, Start)));
  CHECK(Engine.load().Load_ == LoadReport{1, 2});
  CHECK(isError(Engine.submit(callOf("b"), Start)));

  std::string Finished;
  for (auto const &Output : Engine.advance(Later))
    if (std::holds_alternative<CompletionDone>(Output.Message_))
      Finished += Output.Stream_.Request_.text();
  CHECK(Finished == "acb");
  CHECK(Engine.counts().TokensGenerated_ == 6);
  CHECK_FALSE(Engine.nextDue());
}

TEST_CASE("Cancelling frees the slot and is idempotent") {
  EngineCore Engine(oneSlot());
  Engine.submit(callOf("a"), Start);
  Engine.submit(callOf("b"), Start);
  Engine.cancel(keyOf("a"), Start);
  Engine.cancel(keyOf("a"), Start);
  CHECK(Engine.load().Load_ == LoadReport{1, 0});
  CHECK(Engine.counts().Cancelled_ == 1);
}

TEST_CASE("The load is reported with its lag") {
  auto Settings = oneSlot();
  Settings.LoadLag_ = std::chrono::seconds(1);
  EngineCore Engine(Settings);
  Engine.submit(callOf("a"), Start);
  CHECK(Engine.laggingLoad(Start).Load_ == LoadReport{0, 0});
  CHECK(Engine.laggingLoad(Start + Settings.LoadLag_).Load_ ==
        LoadReport{1, 0});
}

TEST_CASE(
    "Orders with an old fencing number are rejected only if it is checked") {
  for (auto const Fencing : {FencingCheck::Ignored, FencingCheck::Honoured}) {
    auto Settings = oneSlot();
    Settings.Fencing_ = Fencing;
    EngineCore Engine(Settings);
    CHECK_FALSE(isError(Engine.order({7, "o1", "set_role", "prefill"})));
    CHECK_FALSE(isError(Engine.order({7, "o1", "set_role", "prefill"})));
    CHECK(Engine.orders().size() == 1);
    auto const Old = Engine.order({6, "o2", "set_role", "decode"});
    CHECK(isError(Old) == (Fencing == FencingCheck::Honoured));
  }
}

TEST_CASE("Imported blocks are not computed again at the other engine") {
  auto Call = callOf("a");
  for (int Word = 0; Word < 40; ++Word)
    Call.Prompt_ += " w" + std::to_string(Word);
  EngineCore From(oneSlot());
  From.submit(Call, Start);
  auto const Blocks = From.exportBlocks(Call.Request_);
  REQUIRE_FALSE(isError(Blocks));
  EngineCore To(oneSlot());
  To.importBlocks(valueOf(Blocks));
  To.submit(Call, Start);
  CHECK(From.counts().PromptTokensComputed_ == 42);
  CHECK(To.counts().PromptTokensComputed_ == 42 - 2 * BlockTokens);
  CHECK(isError(From.exportBlocks(RequestId("other"))));
}

TEST_CASE("The cache evicts the least recently used block and reports gaps") {
  PrefixCache Cache(2 * BlockTokens, 3, 0);
  Cache.store({1, 2});
  CHECK(Cache.match({1}) == BlockTokens);
  Cache.store({3});
  CHECK(Cache.match({2}) == 0);
  CHECK(Cache.match({1}) == BlockTokens);
  CHECK_FALSE(Cache.eventsFrom(2).HasGap_);
  CHECK(Cache.eventsFrom(1).HasGap_); // Three of four events are retained.
  CHECK(Cache.eventsFrom(0).Next_ == 5);

  PrefixCache Lossy(16 * BlockTokens, 100, 2);
  Lossy.store({1, 2, 3});
  CHECK(Lossy.eventsFrom(1).HasGap_);
  CHECK(Lossy.eventsFrom(1).Events_.size() == 2);
}
