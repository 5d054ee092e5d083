#include "ObservingBackendClient.h"

namespace laburnum {

PlainResult ObservingBackendClient::call(BackendServer const &Server,
                                         PlainCall const &Call) {
  auto Outcome = Inner_.call(Server, Call);
  observe(Server.Id_, Outcome.Evidence_, Outcome.Load_);
  return Outcome;
}

CompletionResult ObservingBackendClient::complete(BackendServer const &Server,
                                                  CompletionCall const &Call,
                                                  PieceSink const &Sink) {
  auto Outcome = Inner_.complete(Server, Call, Sink);
  observe(Server.Id_, Outcome.Evidence_, Outcome.Load_);
  return Outcome;
}

void ObservingBackendClient::observe(ServerId const &Server,
                                     AttemptEvidence const &Evidence,
                                     std::optional<LoadReport> const &Load) {
  if (Load)
    Observer_.onLoadReport(Server, *Load);
  if (Evidence.End_ == AttemptEnd::Refused)
    Observer_.onWorkRefused(Server);
}

} // namespace laburnum
