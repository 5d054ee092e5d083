#include <LibCore/BodyMemory.h>

namespace laburnum {

bool BodyMemory::Share::extend(std::size_t BodyBytes) {
  if (BodyBytes <= FreeBytes + Taken_)
    return true;
  auto const More = BodyBytes - FreeBytes - Taken_;
  if (Memory_.Taken_.fetch_add(More) + More > Memory_.MaxBytes_) {
    Memory_.Taken_ -= More;
    return false;
  }
  Taken_ += More;
  return true;
}

} // namespace laburnum
