#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace laburnum::shape_soak {

/// The size of the deployment and of its traffic.
struct Shape {
  unsigned Instances_ = 8;
  unsigned StreamServers_ = 9;
  unsigned PlainServers_ = 3;
  /// Of a processor, for each instance; 0: no limit.
  double Share_ = 0.25;
  /// Mean lengths of streams. Half of the streams have these, the others are
  /// drawn.
  std::uint64_t Events_ = 48;
  std::uint64_t OnceEvents_ = 3;
  std::size_t StreamBytes_ = 12000; ///< Of a request's body.
  std::size_t OnceBytes_ = 2400;
  std::size_t PlainBytes_ = 100;
  std::chrono::microseconds Gap_{25000};
  std::chrono::milliseconds StreamDeadline_{12000};
  std::chrono::milliseconds OnceDeadline_{2500};
  std::chrono::milliseconds PlainDeadline_{2000};
  /// Requests a second in all.
  double Streams_ = 14;
  double Once_ = 90;
  double Plain_ = 30;
  /// Factor of the three.
  double Rate_ = 1;
  std::string Program_ = "laburnum-entry";
};

} // namespace laburnum::shape_soak
