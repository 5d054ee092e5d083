#include <LibAdmin/OperatorAuthenticator.h>

#include <LibModel/ClientAccount.h>

#include <openssl/crypto.h>

#include <string_view>

namespace laburnum {

namespace {

constexpr std::string_view Scheme = "Bearer ";

/// Digests all have one length, so that only their content could matter.
bool isEqual(std::string const &Left, std::string const &Right) {
  return CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

} // namespace

OperatorAuthenticator::OperatorAuthenticator(
    std::vector<OperatorKey> const &Keys) {
  for (auto const &One : Keys)
    Operators_.push_back({One.Name_, keyDigest(One.Key_)});
}

Result<std::string>
OperatorAuthenticator::authenticate(std::string const &Authorization) const {
  KnownOperator const *Found = nullptr;
  if (Authorization.starts_with(Scheme)) {
    auto const Digest = keyDigest(Authorization.substr(Scheme.size()));
    for (auto const &One : Operators_)
      if (isEqual(One.Digest_, Digest))
        Found = &One;
  }
  if (Found == nullptr)
    return Error{ErrorKind::Unauthenticated,
                 "the operator's key is missing or wrong",
                 "send a key of the setting [operators] keys as \"Bearer "
                 "KEY\" in the metadata \"authorization\""};
  return Found->Name_;
}

} // namespace laburnum
