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

/// An authenticated and validated request.
struct CallerRequest {
  RequestId Id_;
  AccountName Account_;
  ServiceName Service_;
  ServiceKind Kind_ = ServiceKind::Plain;
  Idempotence Idempotence_ = Idempotence::Idempotent;
  std::optional<IdempotencyKey> Key_;
  /// stableHash of the content, the same when a request is resent.
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
  std::uint32_t ResumeFrom_ = 0; ///< Offset of the first token to send.
  /// Digest of the tokens that the caller already has, if it sent one.
  std::optional<TokenDigest> ResumeDigest_;
  /// Tokens, from offset 0, that an earlier flow of this request produced.
  std::vector<std::string> Produced_;

  auto operator<=>(CallerRequest const &) const = default;
};

} // namespace laburnum
