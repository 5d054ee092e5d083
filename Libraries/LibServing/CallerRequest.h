#pragma once

#include <LibBackend/BackendClient.h>
#include <LibCore/Time.h>
#include <LibModel/Service.h>
#include <LibServing/TokenDigest.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace laburnum {

enum class Idempotence { Idempotent, NonIdempotent };

/// A request whose caller is known and whose content was checked.
struct CallerRequest {
  RequestId Id_;
  AccountName Account_;
  ServiceName Service_;
  ServiceKind Kind_ = ServiceKind::Plain;
  Idempotence Idempotence_ = Idempotence::Idempotent;
  std::optional<IdempotencyKey> Key_;
  /// stableHash of the content: the same for a request that is sent again.
  std::uint64_t Fingerprint_ = 0;
  TimePoint Deadline_{};
  std::int32_t Priority_ = 0;
  double Worth_ = 1.0;

  // Plain services.
  std::string Method_;
  std::string Path_;
  std::vector<HttpField> Fields_;
  std::string Body_;

  // Model services.
  std::string Prompt_;
  std::uint32_t MaxTokens_ = 0;
  std::uint32_t ResumeFrom_ = 0; ///< The first token the caller still lacks.
  /// Of the tokens that the caller has, if it says so.
  std::optional<TokenDigest> ResumeDigest_;
  /// Tokens from offset 0 on that an earlier flow of this request produced.
  std::vector<std::string> Produced_;

  auto operator<=>(CallerRequest const &) const = default;
};

} // namespace laburnum
