#pragma once

#include <LibModel/Endpoint.h>

#include <cstddef>
#include <sys/types.h>

namespace laburnum::hostile_clients {

/// Returns the most memory that the process has had resident so far, in bytes.
std::size_t peakMemory(pid_t Process);

/// Returns the number of descriptors that the process has open.
std::size_t openDescriptors(pid_t Process);

/// Returns how much the process that listens at the address has left in the
/// kernel: bytes that it has not read, and connections that it has not
/// accepted.
std::size_t leftInKernel(Endpoint const &Address);

} // namespace laburnum::hostile_clients
