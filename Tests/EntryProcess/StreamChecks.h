#pragma once

#include "VersionedFleet.h"

#include <cstddef>
#include <deque>
#include <set>
#include <string>

namespace laburnum::entry_process {

/// Streams that beginStreams() begins.
constexpr std::size_t Streams = 12;

/// Longest time that a client may wait for the refusal of a stream that cannot
/// go on.
constexpr Duration RefusalTime = std::chrono::seconds(1);

/// Begins streams at an instance and reads the first events of each.
std::deque<StreamClient> beginStreams(VersionedFleet &Fleet,
                                      std::size_t Instance,
                                      std::string const &Prefix = "first-");

/// Waits until the store holds what the instance has recorded of the streams.
void awaitRecord(VersionedFleet &Fleet, std::deque<StreamClient> const &Begun,
                 std::size_t Instance = 0);

/// Takes a stream up again after its last event.
StreamClient takeUp(VersionedFleet &Fleet, std::size_t Instance,
                    StreamClient const &Begun);

std::set<std::string> versionsOf(ReceivedEvents Events,
                                 ReceivedEvents const &Later = {});

/// Counts the streams that went on to their end when they were taken up again,
/// and checks that none holds events of two software versions.
std::size_t countTakenUp(VersionedFleet &Fleet, std::size_t Instance,
                         std::deque<StreamClient> const &Begun);

} // namespace laburnum::entry_process
