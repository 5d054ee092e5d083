#include <LibModel/Configuration.h>

#include <LibModel/JsonCodec.h>

#include <algorithm>

namespace laburnum {

std::shared_ptr<Configuration const>
Configuration::create(std::vector<ConfigurationObject> const &Objects) {
  auto Created = std::make_shared<Configuration>();
  for (auto const &Object : Objects)
    Created->add(Object);
  for (auto &[Name, Servers] : Created->Servers_) {
    std::sort(Servers.begin(), Servers.end(),
              [](BackendServer const &Left, BackendServer const &Right) {
                return Left.Id_ < Right.Id_;
              });
  }
  return Created;
}

void Configuration::add(ConfigurationObject const &Object) {
  Version_ = std::max(Version_, Object.Version_);
  if (Object.IsDeleted_)
    return;
  switch (Object.Name_.Kind_) {
  case ObjectKind::Service:
    addService(decodeService(Object.Specification_));
    return;
  case ObjectKind::Account:
    addAccount(decodeClientAccount(Object.Specification_));
    return;
  case ObjectKind::Server:
    addServer(decodeBackendServer(Object.Specification_));
    return;
  }
}

void Configuration::addService(Result<Service> const &Decoded) {
  if (isError(Decoded))
    return;
  Services_.insert_or_assign(valueOf(Decoded).Name_, valueOf(Decoded));
}

void Configuration::addAccount(Result<ClientAccount> const &Decoded) {
  if (isError(Decoded))
    return;
  auto const &Account = valueOf(Decoded);
  AccountsByDigest_.insert_or_assign(Account.KeyDigest_, Account.Name_);
  Accounts_.insert_or_assign(Account.Name_, Account);
}

void Configuration::addServer(Result<BackendServer> const &Decoded) {
  if (isError(Decoded))
    return;
  Servers_[valueOf(Decoded).Service_].push_back(valueOf(Decoded));
}

Service const *Configuration::service(ServiceName const &Name) const {
  auto const Found = Services_.find(Name);
  return Found == Services_.end() ? nullptr : &Found->second;
}

ClientAccount const *
Configuration::accountByKeyDigest(std::string const &Digest) const {
  auto const Found = AccountsByDigest_.find(Digest);
  return Found == AccountsByDigest_.end() ? nullptr : account(Found->second);
}

ClientAccount const *Configuration::account(AccountName const &Name) const {
  auto const Found = Accounts_.find(Name);
  return Found == Accounts_.end() ? nullptr : &Found->second;
}

BackendServer const *Configuration::server(ServerId const &Id) const {
  for (auto const &[Name, Servers] : Servers_) {
    auto const Found =
        std::find_if(Servers.begin(), Servers.end(),
                     [&](BackendServer const &Each) { return Each.Id_ == Id; });
    if (Found != Servers.end())
      return &*Found;
  }
  return nullptr;
}

std::vector<BackendServer> const &
Configuration::serversOf(ServiceName const &Name) const {
  static std::vector<BackendServer> const None;
  auto const Found = Servers_.find(Name);
  return Found == Servers_.end() ? None : Found->second;
}

} // namespace laburnum
