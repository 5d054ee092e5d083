#include <LibTraffic/EventStreamSplitter.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace laburnum;

TEST_CASE("Events are split at their ends and keep their bytes") {
  EventStreamSplitter Splitter;
  auto const Events =
      Splitter.feed("id: 7\ndata: a\n\nx-weight-versions: 3\nid:8\n\r\ndata");
  REQUIRE(Events.size() == 2);
  CHECK(Events[0] == StreamEvent{7, "id: 7\ndata: a\n\n"});
  CHECK(Events[1] == StreamEvent{8, "x-weight-versions: 3\nid:8\n\r\n"});
  CHECK(Splitter.isInsideEvent());
}

TEST_CASE("An identifier that is not a number is ignored") {
  EventStreamSplitter Splitter;
  CHECK_FALSE(Splitter.feed("id: x1\n\n").front().Id_);
}

TEST_CASE("A stream yields the same events however it is divided into pieces") {
  bool const Holds = rc::check([](std::vector<std::string> const &Data,
                                  std::vector<unsigned char> const &Cuts) {
    std::string Stream;
    for (std::size_t Place = 0; Place < Data.size(); ++Place) {
      auto Text = Data[Place];
      std::replace(Text.begin(), Text.end(), '\n', ' ');
      Stream += "id: " + std::to_string(Place) + "\ndata: " + Text + "\n\n";
    }
    EventStreamSplitter Splitter;
    std::string Out;
    std::size_t Count = 0;
    std::size_t At = 0;
    auto const Take = [&](std::size_t Length) {
      for (auto const &Event : Splitter.feed(Stream.substr(At, Length))) {
        RC_ASSERT(Event.Id_ == Count++);
        Out += Event.Bytes_;
      }
      At += Length;
    };
    for (auto const Cut : Cuts)
      if (At < Stream.size())
        Take(std::min<std::size_t>(Cut, Stream.size() - At));
    Take(Stream.size() - At);
    RC_ASSERT(Out == Stream);
    RC_ASSERT(Count == Data.size());
  });
  CHECK(Holds);
}
