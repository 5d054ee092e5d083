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

/// All configuration in force at one instance at one moment. Immutable: the
/// control thread makes a new one for each change and traffic threads read it.
class Configuration {
public:
  Configuration() = default;

  /// Parses each object that is not deleted; one that cannot be parsed is
  /// left out, as its writer was told already.
  static std::shared_ptr<Configuration const>
  create(std::vector<ConfigurationObject> const &Objects);

  /// nullptr when there is no such service.
  Service const *service(ServiceName const &Name) const;
  /// nullptr when no account has the key with this digest.
  ClientAccount const *accountByKeyDigest(std::string const &Digest) const;
  ClientAccount const *account(AccountName const &Name) const;
  BackendServer const *server(ServerId const &Id) const;
  /// The servers of a service in order of their identifiers.
  std::vector<BackendServer> const &serversOf(ServiceName const &Name) const;

  std::map<ServiceName, Service> const &services() const { return Services_; }
  std::map<AccountName, ClientAccount> const &accounts() const {
    return Accounts_;
  }
  /// The highest version of any object in it.
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
