#include <LibTraffic/ContentFingerprint.h>

#include <LibCore/Hash.h>

namespace laburnum {

std::uint64_t contentFingerprint(AccountName const &Account,
                                 ReceivedRequest const &Request) {
  auto const &Head = Request.Head_;
  // The hash of each part seeds the next, so that moving bytes between parts
  // changes the fingerprint.
  auto Fingerprint = stableHash(Account.text());
  Fingerprint = stableHash(Head.Method_, Fingerprint);
  Fingerprint = stableHash(Head.Fields_.valueOr("Host"), Fingerprint);
  Fingerprint = stableHash(Head.Target_, Fingerprint);
  return stableHash(Request.Body_, Fingerprint);
}

} // namespace laburnum
