#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace laburnum {

/// Stands for the software version of a server whose process does not identify
/// itself: the list may name the version of another process. No server is
/// listed with it, so that no instance continues such a stream.
inline constexpr char const *UnidentifiedVersion = "(unidentified)";

/// What began a stream, and alone can continue it.
struct StreamOrigin {
  ServiceName Service_;
  std::string SoftwareVersion_;

  auto operator<=>(StreamOrigin const &) const = default;
};

/// A stream's origin, by the client's identifier of the attempt that brought
/// its first event.
struct BegunStream {
  std::string FirstAttemptId_;
  StreamOrigin Origin_;

  auto operator<=>(BegunStream const &) const = default;
};

/// Remembers the origins of the streams that this instance has sent, for as
/// long as a client may take them up again. Bounded: the oldest are forgotten
/// first.
class StreamOrigins {
public:
  /// Clients wait for a stream no longer than this.
  static constexpr std::chrono::seconds RetentionTime{30};

  /// An event of the stream is about to be sent.
  void onBegun(BegunStream Stream, TimePoint Now);
  /// The stream was sent to its end. It is remembered, as the client may not
  /// have received all of it, but no longer listed as unfinished.
  void onFinished(std::string const &FirstAttemptId);

  std::optional<StreamOrigin> find(std::string const &FirstAttemptId,
                                   TimePoint Now) const;
  /// Returns the streams that were not sent to their end.
  std::vector<BegunStream> unfinished(TimePoint Now);

private:
  struct Entry {
    StreamOrigin Origin_;
    TimePoint LastUsedAt_{};
    std::uint64_t Number_ = 0; ///< In Order_.
    bool IsFinished_ = false;
  };

  void forgetOld(TimePoint Now);

  std::map<std::string, Entry> Streams_;
  std::map<std::uint64_t, std::string> Order_; ///< By age of the last use.
  std::uint64_t LastNumber_ = 0;
};

} // namespace laburnum
