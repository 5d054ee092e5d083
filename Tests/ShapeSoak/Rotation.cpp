#include "Rotation.h"

#include <vector>

namespace laburnum::shape_soak {

void Rotation::add(std::size_t Instance) {
  std::lock_guard const Lock(Mutex_);
  Instances_.insert(Instance);
}

void Rotation::remove(std::size_t Instance) {
  std::lock_guard const Lock(Mutex_);
  Instances_.erase(Instance);
  Last_ = Instance;
}

std::size_t Rotation::draw(std::mt19937_64 &Numbers,
                           std::optional<std::size_t> Except) {
  std::lock_guard const Lock(Mutex_);
  std::vector<std::size_t> Choices;
  for (auto const Each : Instances_)
    if (Each != Except || Instances_.size() == 1)
      Choices.push_back(Each);
  return Choices.empty() ? Last_ : Choices[Numbers() % Choices.size()];
}

} // namespace laburnum::shape_soak
