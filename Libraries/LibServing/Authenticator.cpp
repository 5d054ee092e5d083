#include <LibServing/Authenticator.h>

#include <algorithm>
#include <cctype>
#include <optional>
#include <string_view>

namespace laburnum {

namespace {

constexpr std::string_view Scheme = "bearer ";

/// The scheme's name is case-insensitive (RFC 9110, section 11.1).
std::optional<std::string> bearerKey(std::string const &Field) {
  bool const IsBearer = Field.size() > Scheme.size() &&
                        std::equal(Scheme.begin(), Scheme.end(), Field.begin(),
                                   [](char Expected, unsigned char Given) {
                                     return Expected == std::tolower(Given);
                                   });
  if (!IsBearer)
    return std::nullopt;
  return Field.substr(Scheme.size());
}

/// The same error for each cause, so as not to reveal which keys exist.
Error notAuthenticated() {
  return {ErrorKind::Unauthenticated, "the request carries no valid key",
          "send the account's key as \"Authorization: Bearer KEY\""};
}

} // namespace

Result<ClientAccount> authenticate(std::string const &AuthorizationField,
                                   Configuration const &InForce) {
  auto const Key = bearerKey(AuthorizationField);
  if (!Key)
    return notAuthenticated();
  auto const *Account = InForce.accountByKeyDigest(keyDigest(*Key));
  if (!Account)
    return notAuthenticated();
  return *Account;
}

Result<Success> checkPermission(ClientAccount const &Account,
                                ServiceName const &Service) {
  auto const &Allowed = Account.Services_;
  if (Allowed.empty() ||
      std::find(Allowed.begin(), Allowed.end(), Service) != Allowed.end())
    return Success{};
  return Error{ErrorKind::PermissionDenied,
               "account " + Account.Name_.text() + " may not use service " +
                   Service.text(),
               "ask the operators to allow the service to the account"};
}

} // namespace laburnum
