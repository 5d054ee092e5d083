#pragma once

#include <LibBackend/BackendClient.h>

#include <functional>

namespace laburnum {

/// Told what each answer of a backend server says beside its content.
class BackendObserver {
public:
  virtual ~BackendObserver() = default;
  virtual void loadReported(ServerId const &Server, LoadReport const &Load) = 0;
  /// The server refused before any work: it is leaving, or overloaded.
  virtual void workRefused(ServerId const &Server) = 0;
};

/// Passes calls on and tells an observer of the loads and refusals seen.
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
