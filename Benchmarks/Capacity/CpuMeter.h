#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace laburnum::bench {

/// The kinds of work that CPU time is accounted to.
enum class Work { Membership, Configuration, Servers, Codec, InstanceList };
constexpr std::size_t WorkKinds = 5;

/// Accumulates the CPU time of calls, without the overhead of reading the
/// clock.
class CpuMeter {
public:
  CpuMeter();

  template <typename Call> auto measure(Work Kind, Call Measured) {
    Measurement const Running(*this, Kind);
    return Measured();
  }
  void add(Work Kind, double Seconds) { Seconds_[index(Kind)] += Seconds; }
  void reset() { Seconds_ = {}; }
  double seconds(Work Kind) const { return Seconds_[index(Kind)]; }
  double total() const;

private:
  /// Adds the time between its construction and destruction.
  class Measurement {
  public:
    Measurement(CpuMeter &Owner, Work Kind)
        : Owner_(Owner), Kind_(Kind), Start_(now()) {}
    Measurement(Measurement const &) = delete;
    Measurement &operator=(Measurement const &) = delete;
    ~Measurement();

  private:
    CpuMeter &Owner_;
    Work const Kind_;
    std::int64_t const Start_;
  };

  static std::size_t index(Work Kind) { return static_cast<std::size_t>(Kind); }
  /// CPU time of this thread, in nanoseconds.
  static std::int64_t now();

  std::int64_t Overhead_ = 0; ///< Median time between two readings, in ns.
  std::array<double, WorkKinds> Seconds_{};
};

} // namespace laburnum::bench
