#include <LibControl/ContactMonitor.h>

#include <catch2/catch.hpp>

using namespace laburnum;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds Tick{200};
TimePoint const Start{seconds(100)};

} // namespace

TEST_CASE("Knowledge is current while confirmations arrive, and outdated after "
          "a silence") {
  ContactMonitor Monitor;
  auto Now = Start;
  CHECK_FALSE(Monitor.isListCurrent(Now));
  for (; Now < Start + seconds(5); Now += Tick) {
    Monitor.onListConfirmed(Now);
    Monitor.onPeerMessage(Now);
    CHECK(Monitor.isListCurrent(Now));
    CHECK(Monitor.hearsPeers(Now));
  }
  for (; Now <= Start + seconds(7); Now += Tick)
    Monitor.onTime(Now);
  CHECK_FALSE(Monitor.isListCurrent(Now));
  CHECK_FALSE(Monitor.hearsPeers(Now));
}

// Guards against taking messages that waited in the sockets of a process that
// stood still for the state of the fleet.
TEST_CASE("What arrives just after a process stood still confirms nothing") {
  ContactMonitor Monitor;
  Monitor.onListConfirmed(Start);
  auto const Woken = Start + seconds(3);
  bool const IsQuestionFirst = GENERATE(false, true);
  if (IsQuestionFirst)
    CHECK_FALSE(Monitor.isListCurrent(Woken));
  Monitor.onListConfirmed(Woken + milliseconds(1));
  Monitor.onPeerMessage(Woken + milliseconds(1));
  CHECK_FALSE(Monitor.isListCurrent(Woken + milliseconds(2)));
  CHECK_FALSE(Monitor.hearsPeers(Woken + milliseconds(2)));
  auto const Later = Woken + ContactMonitor::BacklogTime + milliseconds(100);
  Monitor.onTime(Woken + milliseconds(300));
  Monitor.onListConfirmed(Later);
  CHECK(Monitor.isListCurrent(Later));
}
