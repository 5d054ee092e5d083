#include "CpuMeter.h"

#include <algorithm>
#include <ctime>
#include <numeric>

namespace laburnum::bench {

static constexpr std::int64_t NanosecondsPerSecond = 1'000'000'000;

std::int64_t CpuMeter::now() {
  timespec Reading{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Reading);
  return Reading.tv_sec * NanosecondsPerSecond + Reading.tv_nsec;
}

CpuMeter::CpuMeter() {
  constexpr int Readings = 1001;
  std::array<std::int64_t, Readings> Gaps{};
  for (auto &Gap : Gaps) {
    auto const Before = now();
    Gap = now() - Before;
  }
  auto const Middle = Gaps.begin() + Readings / 2;
  std::nth_element(Gaps.begin(), Middle, Gaps.end());
  Overhead_ = *Middle;
}

CpuMeter::Measurement::~Measurement() {
  auto const Spent =
      std::max<std::int64_t>(now() - Start_ - Owner_.Overhead_, 0);
  Owner_.add(Kind_, static_cast<double>(Spent) / NanosecondsPerSecond);
}

double CpuMeter::total() const {
  return std::accumulate(Seconds_.begin(), Seconds_.end(), 0.0);
}

} // namespace laburnum::bench
