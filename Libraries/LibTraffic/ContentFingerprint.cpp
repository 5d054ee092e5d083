#include <LibTraffic/ContentFingerprint.h>

#include <LibCore/Hash.h>

#include <algorithm>

namespace laburnum {

namespace {

/// Bounds the memory that the crash guard needs for one request.
constexpr std::size_t MaxParts = 64;
/// Keeps the fingerprints of parts apart from those of contents.
constexpr std::string_view PartNamespace = "prompt part";

} // namespace

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

RequestFingerprints requestFingerprints(AccountName const &Account,
                                        ReceivedRequest const &Request,
                                        RequestMetadata const &Metadata) {
  RequestFingerprints Fingerprints;
  Fingerprints.Content_ = contentFingerprint(Account, Request);
  auto &Parts = Fingerprints.Parts_;
  for (auto const &Id : Metadata.SharedParts_) {
    if (Parts.size() == MaxParts)
      break;
    auto const Part = stableHash(Id, stableHash(PartNamespace));
    if (std::find(Parts.begin(), Parts.end(), Part) == Parts.end())
      Parts.push_back(Part);
  }
  return Fingerprints;
}

} // namespace laburnum
