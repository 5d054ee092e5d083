#include <LibTraffic/ContentFingerprint.h>

#include <LibCore/Hash.h>

namespace laburnum {

std::uint64_t contentFingerprint(AccountName const &Account,
                                 ReceivedRequest const &Request) {
  auto const &Head = Request.Head_;
  // Each part is the next one's seed, so that bytes cannot move between parts.
  auto Fingerprint = stableHash(Account.text());
  Fingerprint = stableHash(Head.Method_, Fingerprint);
  Fingerprint = stableHash(Head.Fields_.valueOr("Host"), Fingerprint);
  Fingerprint = stableHash(Head.Target_, Fingerprint);
  return stableHash(Request.Body_, Fingerprint);
}

} // namespace laburnum
