#pragma once

#include <LibTraffic/RecentValues.h>
#include <LibTraffic/StreamConventions.h>

#include <map>

namespace laburnum {

/// Learns the conventions from the streams that this instance receives. What a
/// few servers do otherwise does not change what is usual.
class ObservedConventions : public exchange::StreamConventions {
public:
  void onFirst(StreamOrigin const &Origin, std::uint64_t Id) override;
  void onStep(StreamOrigin const &Origin, std::uint64_t Step) override;
  void onAgreedStep(StreamOrigin const &Origin, std::uint64_t Step) override;
  void onData(StreamOrigin const &Origin, bool HasIdentifier) override;
  void onEnd(StreamOrigin const &Origin, bool HasIdentifier) override;
  bool isLateFirst(StreamOrigin const &Origin, std::uint64_t Id) const override;
  bool isGap(StreamOrigin const &Origin, std::uint64_t Step) const override;
  bool mayFollow(StreamOrigin const &Origin, std::uint64_t Step) const override;
  bool numbersData(StreamOrigin const &Origin) const override;
  bool numbersLast(StreamOrigin const &Origin) const override;

private:
  struct Observed {
    RecentValues FirstIds_;
    RecentValues Steps_;
    /// The others: 1 for each that has it, else 0.
    RecentValues HasDataIdentifier_;
    RecentValues HasLastIdentifier_;
  };

  Observed &observed(StreamOrigin const &Origin);
  Observed const *find(StreamOrigin const &Origin) const;

  std::map<StreamOrigin, Observed> Origins_;
};

} // namespace laburnum
