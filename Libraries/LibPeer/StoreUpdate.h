#pragma once

#include <LibCore/Time.h>
#include <LibModel/EntryInstance.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace laburnum {

/// How an object's value is sent.
enum class ValueEncoding { Plain, Compressed };

/// One object of the platform's store. A large value is compressed once, by the
/// instance that has read it.
struct UpdatedObject {
  std::string Name_;
  std::uint64_t Version_ = 0; ///< 0 when it is gone.
  std::string Value_;
  ValueEncoding Encoding_ = ValueEncoding::Plain;

  auto operator<=>(UpdatedObject const &) const = default;
};

/// A delta of one collection between two versions of the store, or a snapshot.
struct CollectionUpdate {
  std::string Collection_;
  std::uint64_t From_ = 0; ///< 0: Objects_ is the whole collection.
  std::uint64_t To_ = 0;
  Duration Age_{}; ///< Since To_ was the store's latest state, when sent.
  std::vector<UpdatedObject> Objects_;

  auto operator<=>(CollectionUpdate const &) const = default;
};

enum class Propagation {
  Tree, ///< The receiver forwards it along the origin's broadcast tree.
  None, ///< The receiver does not forward it.
};

/// Update from an instance that reads the store to the others. Sent for each
/// change and, without objects, a few times a second as a keep-alive that
/// confirms that the receivers' copies are current.
struct StoreUpdate {
  InstanceId Origin_;        ///< Who read the store.
  std::uint64_t Number_ = 0; ///< Grows with each of the origin's messages.
  Propagation Propagation_ = Propagation::None;
  Endpoint ReplyTo_; ///< The sender, for snapshot requests after a gap.
  std::vector<CollectionUpdate> Collections_;

  auto operator<=>(StoreUpdate const &) const = default;
};

/// Requests snapshots of collections; answered by a StoreUpdate to the sender.
struct SnapshotRequest {
  Endpoint ReplyTo_;
  std::vector<std::string> Collections_;

  auto operator<=>(SnapshotRequest const &) const = default;
};

} // namespace laburnum
