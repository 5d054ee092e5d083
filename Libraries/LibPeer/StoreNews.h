#pragma once

#include <LibCore/Time.h>
#include <LibModel/EntryInstance.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace laburnum {

/// One object of the platform's store, as the store spells its value.
struct NewsObject {
  std::string Name_;
  std::uint64_t Version_ = 0; ///< 0 when it is gone.
  std::string Value_;

  auto operator<=>(NewsObject const &) const = default;
};

/// What happened to a collection of the store between two of its versions.
struct CollectionNews {
  std::string Collection_;
  std::uint64_t From_ = 0; ///< 0: Objects_ is the whole collection.
  std::uint64_t To_ = 0;
  Duration Age_{}; ///< Since To_ was the store's latest state, when sent.
  std::vector<NewsObject> Objects_;

  auto operator<=>(CollectionNews const &) const = default;
};

enum class NewsSpread {
  Tree, ///< The receiver passes it on along the origin's tree.
  None, ///< For the receiver alone.
};

/// What an instance that reads the store tells the others. Sent for each change
/// and, without objects, a few times a second, so that they know that what they
/// hold is current.
struct StoreNews {
  InstanceId Origin_;        ///< Who read the store.
  std::uint64_t Number_ = 0; ///< Grows with each of the origin's messages.
  NewsSpread Spread_ = NewsSpread::None;
  Endpoint ReplyTo_; ///< The sender's, to ask for what is missing.
  std::vector<CollectionNews> Collections_;

  auto operator<=>(StoreNews const &) const = default;
};

/// Asks for whole collections; answered by StoreNews for the sender alone.
struct StoreNewsRequest {
  Endpoint ReplyTo_;
  std::vector<std::string> Collections_;

  auto operator<=>(StoreNewsRequest const &) const = default;
};

} // namespace laburnum
