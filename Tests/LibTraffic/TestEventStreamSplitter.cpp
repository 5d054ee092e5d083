#include <LibTraffic/EventStreamSplitter.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace laburnum;

TEST_CASE("Events are cut at their ends and keep their bytes") {
  EventStreamSplitter Cutter;
  auto const Events =
      Cutter.feed("id: 7\ndata: a\n\nx-weight-versions: 3\nid:8\n\r\ndata");
  REQUIRE(Events.size() == 2);
  CHECK(Events[0] == StreamEvent{7, "id: 7\ndata: a\n\n"});
  CHECK(Events[1] == StreamEvent{8, "x-weight-versions: 3\nid:8\n\r\n"});
  CHECK(Cutter.isInsideEvent());
}

TEST_CASE("An identifier that is no number is none") {
  EventStreamSplitter Cutter;
  CHECK_FALSE(Cutter.feed("id: x1\n\n").front().Id_);
}

TEST_CASE("However a stream is cut into pieces, the same events come out") {
  bool const Holds = rc::check([](std::vector<std::string> const &Data,
                                  std::vector<unsigned char> const &Cuts) {
    std::string Stream;
    for (std::size_t Place = 0; Place < Data.size(); ++Place) {
      auto Text = Data[Place];
      std::replace(Text.begin(), Text.end(), '\n', ' ');
      Stream += "id: " + std::to_string(Place) + "\ndata: " + Text + "\n\n";
    }
    EventStreamSplitter Cutter;
    std::string Out;
    std::size_t Count = 0;
    std::size_t At = 0;
    auto const Take = [&](std::size_t Length) {
      for (auto const &Event : Cutter.feed(Stream.substr(At, Length))) {
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
