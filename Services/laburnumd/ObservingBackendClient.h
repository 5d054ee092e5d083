#pragma once

#include <LibBackend/BackendClient.h>

#include <functional>

namespace laburnum {

/// Receives load reports and refusals that backend servers send with their
/// answers.
class BackendObserver {
public:
  virtual ~BackendObserver() = default;
  virtual void onLoadReport(ServerId const &Server, LoadReport const &Load) = 0;
  /// The server refused a request before any work because it is leaving or
  /// overloaded.
  virtual void onWorkRefused(ServerId const &Server) = 0;
};

/// Forwards calls to another client and notifies an observer of load reports
/// and refusals.
class ObservingBackendClient : public BackendClient {
public:
  ObservingBackendClient(BackendClient &Inner, BackendObserver &Observer)
      : Inner_(Inner), Observer_(Observer) {}

  PlainResult call(BackendServer const &Server, PlainCall const &Call) override;
  CompletionResult complete(BackendServer const &Server,
                            CompletionCall const &Call,
                            PieceSink const &Sink) override;

private:
  void observe(ServerId const &Server, AttemptEvidence const &Evidence,
               std::optional<LoadReport> const &Load);

  BackendClient &Inner_;
  BackendObserver &Observer_;
};

} // namespace laburnum
