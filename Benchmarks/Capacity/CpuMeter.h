#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace laburnum::bench {

/// What processor time is spent on.
enum class Work { Membership, Configuration, Servers, Codec, InstanceList };
constexpr std::size_t WorkKinds = 5;

/// Adds up the processor time of single calls, less the clock's own.
class CpuMeter {
public:
  CpuMeter();

  template <typename Call> auto measure(Work Kind, Call Measured) {
    Stretch const Running(*this, Kind);
    return Measured();
  }
  void add(Work Kind, double Seconds) { Seconds_[index(Kind)] += Seconds; }
  void reset() { Seconds_ = {}; }
  double seconds(Work Kind) const { return Seconds_[index(Kind)]; }
  double total() const;

private:
  /// One call being measured; its end adds the time.
  class Stretch {
  public:
    Stretch(CpuMeter &Owner, Work Kind)
        : Owner_(Owner), Kind_(Kind), Start_(now()) {}
    Stretch(Stretch const &) = delete;
    Stretch &operator=(Stretch const &) = delete;
    ~Stretch();

  private:
    CpuMeter &Owner_;
    Work const Kind_;
    std::int64_t const Start_;
  };

  static std::size_t index(Work Kind) { return static_cast<std::size_t>(Kind); }
  /// Processor time of this thread, in nanoseconds.
  static std::int64_t now();

  std::int64_t Overhead_ = 0; ///< Nanoseconds between two readings in a row.
  std::array<double, WorkKinds> Seconds_{};
};

} // namespace laburnum::bench
