#pragma once

#include <LibCore/Result.h>
#include <LibModel/BackendServer.h>
#include <LibModel/ClientAccount.h>
#include <LibModel/ConfigurationObject.h>
#include <LibModel/Service.h>

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace laburnum {

/// An immutable snapshot of the configuration in force at one instance. The
/// control thread creates a new one for each change; traffic threads read it.
class Configuration {
public:
  Configuration() = default;

  /// Parses each object that is not deleted. Objects that cannot be parsed are
  /// skipped: their writer already got the error.
  static std::shared_ptr<Configuration const>
  create(std::vector<ConfigurationObject> const &Objects);

  /// Returns nullptr when there is no such service.
  Service const *service(ServiceName const &Name) const;
  /// Returns nullptr when no account has the key with this digest.
  ClientAccount const *accountByKeyDigest(std::string const &Digest) const;
  ClientAccount const *account(AccountName const &Name) const;
  BackendServer const *server(ServerId const &Id) const;
  /// Returns the servers of a service, sorted by identifier.
  std::vector<BackendServer> const &serversOf(ServiceName const &Name) const;

  std::map<ServiceName, Service> const &services() const { return Services_; }
  std::map<AccountName, ClientAccount> const &accounts() const {
    return Accounts_;
  }
  /// Returns the highest version of any object in the configuration.
  Version version() const { return Version_; }

private:
  void add(ConfigurationObject const &Object);
  void addService(Result<Service> const &Decoded);
  void addAccount(Result<ClientAccount> const &Decoded);
  void addServer(Result<BackendServer> const &Decoded);

  std::map<ServiceName, Service> Services_;
  std::map<AccountName, ClientAccount> Accounts_;
  std::map<std::string, AccountName> AccountsByDigest_;
  std::map<ServiceName, std::vector<BackendServer>> Servers_;
  Version Version_ = 0;
};

} // namespace laburnum
