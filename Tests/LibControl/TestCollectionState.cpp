#include <LibControl/CollectionState.h>
#include <LibPlatform/StoreEra.h>

#include <catch2/catch.hpp>

using namespace laburnum;

namespace {

CollectionUpdate update(Version From, Version To,
                        std::vector<UpdatedObject> Objects) {
  return {"servers", From, To, Duration(0), std::move(Objects)};
}

struct Fixture {
  Fixture() { State_.apply(update(0, 10, {{"a", 5, "1"}, {"b", 8, "1"}})); }

  std::map<std::string, Version> held() const {
    std::map<std::string, Version> Versions;
    for (auto const &Object : State_.snapshot(Duration(0)).Objects_)
      Versions[Object.Name_] = Object.Version_;
    return Versions;
  }

  CollectionState State_{"servers"};
};

} // namespace

TEST_CASE_METHOD(Fixture, "A delta is applied to the current state") {
  auto const Outcome =
      State_.apply(update(10, 14, {{"a", 0, ""}, {"c", 13, ""}}));
  REQUIRE(std::holds_alternative<collection::Applied>(Outcome));
  CHECK(held() == std::map<std::string, Version>{{"b", 8}, {"c", 13}});
  CHECK(State_.version() == 14);
  CHECK(State_.unchangedSince() == 14);
}

TEST_CASE_METHOD(Fixture,
                 "A delta that starts after the current version is a gap") {
  CHECK(State_.apply(update(11, 14, {{"c", 13, ""}})) ==
        collection::Outcome(collection::Gap{}));
  CHECK(State_.version() == 10);
}

TEST_CASE_METHOD(Fixture, "Late updates restore no older state") {
  State_.apply(update(10, 20, {{"a", 0, ""}, {"b", 18, "2"}}));
  auto const Late = GENERATE(update(9, 12, {{"a", 11, "back"}}),
                             update(0, 15, {{"a", 11, "back"}, {"b", 8, "1"}}));
  CHECK(State_.apply(Late) == collection::Outcome(collection::Unchanged{}));
  CHECK(held() == std::map<std::string, Version>{{"b", 18}});
}

TEST_CASE_METHOD(
    Fixture, "A delta that overlaps with known changes gives the same state") {
  // "a" was removed and created again; the state includes this up to 20.
  State_.apply(update(10, 20, {{"a", 0, ""}, {"a", 19, "3"}}));
  State_.apply(update(8, 25,
                      {{"b", 8, "1"},
                       {"a", 0, ""},
                       {"a", 19, "3"},
                       {"b", 0, ""},
                       {"c", 24, "1"}}));
  CHECK(held() == std::map<std::string, Version>{{"a", 19}, {"c", 24}});
}

TEST_CASE_METHOD(Fixture,
                 "A confirmation without changes raises the version only") {
  State_.apply(update(10, 30, {}));
  CHECK(State_.version() == 30);
  CHECK(State_.unchangedSince() == 10);
}

TEST_CASE_METHOD(Fixture,
                 "A copy that has the last change accepts a confirmation") {
  CollectionState Source("servers");
  Source.apply(update(0, 10, {{"a", 5, "1"}, {"b", 8, "1"}}));
  Source.apply(update(10, 40, {}));
  State_.apply(Source.confirmation(Duration(0)));
  CHECK(State_.version() == 40);
}

TEST_CASE_METHOD(
    Fixture, "Applying the difference to a list gives the state of the list") {
  ObjectList const List{
      21, {{{"servers", "b"}, 17, "2"}, {{"servers", "c"}, 12, "1"}}};
  auto const Difference = State_.difference(List);
  CHECK(Difference.From_ == 10);
  State_.apply(Difference);
  CHECK(held() == std::map<std::string, Version>{{"b", 17}, {"c", 12}});

  CollectionState Empty("servers");
  CHECK(Empty.difference(List).From_ == 0);
}

TEST_CASE_METHOD(Fixture,
                 "The list of a restored store replaces the state, also "
                 "of instances that know later changes of before") {
  CollectionState Ahead("servers");
  Ahead.apply(State_.snapshot(Duration(0)));
  Ahead.apply({"servers",
               State_.version(),
               State_.version() + 5,
               {},
               {{"lost", State_.version() + 5, "1"}}});
  ObjectList const List{versionOf(1, 7),
                        {{{"servers", "b"}, versionOf(1, 6), "2"}}};
  auto const Difference = State_.difference(List);
  for (auto *Each : {&State_, &Ahead}) {
    auto const Outcome = Each->apply(Difference);
    REQUIRE(std::holds_alternative<collection::Replaced>(Outcome));
    CHECK(std::get<collection::Replaced>(Outcome).All_.Objects_.size() == 1);
    CHECK(Each->version() == versionOf(1, 7));
  }
  // A late update of the earlier era changes nothing.
  CHECK(std::holds_alternative<collection::Unchanged>(
      State_.apply({"servers", 0, 1000, {}, {{"old", 900, "1"}}})));
}

namespace {

/// A value as large as a configuration with many routes, which differ.
std::string largeValue() {
  std::string Value;
  for (int Number = 0; Number < 1400; ++Number)
    Value += "{\"name\":\"r-" + std::to_string(Number * 7919) +
             "\",\"host\":\"a.example\",\"path_prefix\":\"/p" +
             std::to_string(Number * 104729) +
             "/\",\"timeout_ms\":15000,\"priority\":1,\"service\":\"s\"},";
  return Value;
}

} // namespace

TEST_CASE("A large value is sent in a small part of its bytes and arrives "
          "whole") {
  StoredObject const Large{{"config", "main"}, 12, largeValue()};
  CollectionState Sender("config");
  auto const Whole = Sender.difference({20, {Large}});
  Sender.apply(Whole);
  auto const Delta = GENERATE(false, true);
  CollectionState Receiver("config");
  if (Delta)
    Receiver.apply({"config", 0, 10, Duration(0), {{"main", 9, "{}"}}});
  auto const Update =
      Delta ? CollectionUpdate{"config", 10, 20, Duration(0), Whole.Objects_}
            : Sender.snapshot(Duration(0));
  REQUIRE(Update.Objects_.size() == 1);
  CHECK(Update.Objects_.front().Value_.size() < Large.Value_.size() / 5);
  auto const Outcome = Receiver.apply(Update);
  auto const *const Applied = std::get_if<collection::Applied>(&Outcome);
  auto const *const Replaced = std::get_if<collection::Replaced>(&Outcome);
  REQUIRE((Delta ? Applied != nullptr : Replaced != nullptr));
  CHECK((Delta ? Applied->Changes_.Objects_ : Replaced->All_.Objects_) ==
        std::vector<StoredObject>{Large});
  // What is passed on needs no second compression.
  CHECK(Receiver.snapshot(Duration(0)).Objects_ == Update.Objects_);
}

TEST_CASE_METHOD(Fixture, "An update with a damaged value changes nothing") {
  UpdatedObject Damaged{"c", 13, "no zlib data", ValueEncoding::Compressed};
  auto const From = GENERATE(Version(0), Version(10));
  CHECK(State_.apply(update(From, 14, {{"a", 0, ""}, Damaged})) ==
        collection::Outcome(collection::Gap{}));
  CHECK(held() == std::map<std::string, Version>{{"a", 5}, {"b", 8}});
  CHECK(State_.version() == 10);
}
