#include <LibAdmin/OperatorAuthenticator.h>

#include <LibModel/ClientAccount.h>

#include <openssl/crypto.h>

#include <string_view>

namespace laburnum {

namespace {

constexpr std::string_view Scheme = "Bearer ";

/// Compares in constant time. All digests have the same length, so the length
/// reveals nothing.
bool isEqual(std::string const &Left, std::string const &Right) {
  return CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

} // namespace

OperatorAuthenticator::OperatorAuthenticator(
    std::vector<OperatorKey> const &Keys) {
  for (auto const &Candidate : Keys)
    Operators_.push_back({Candidate.Name_, keyDigest(Candidate.Key_)});
}

Result<std::string>
OperatorAuthenticator::authenticate(std::string const &Authorization) const {
  KnownOperator const *Found = nullptr;
  if (Authorization.starts_with(Scheme)) {
    auto const Digest = keyDigest(Authorization.substr(Scheme.size()));
    for (auto const &Candidate : Operators_)
      if (isEqual(Candidate.Digest_, Digest))
        Found = &Candidate;
  }
  if (Found == nullptr)
    return Error{ErrorKind::Unauthenticated,
                 "the operator's key is missing or wrong",
                 "send a key of the setting [operators] keys as \"Bearer "
                 "KEY\" in the metadata \"authorization\""};
  return Found->Name_;
}

} // namespace laburnum
