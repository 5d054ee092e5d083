#pragma once

#include <LibCore/Result.h>
#include <LibModel/BackendServer.h>
#include <LibModel/ClientAccount.h>
#include <LibModel/Service.h>

#include <string>

namespace laburnum {

/// JSON as stored in ConfigurationObject::Specification_. Decoding rejects
/// unknown keys, missing keys and values out of range; the error names the key.
std::string encodeJson(Service const &Value);
std::string encodeJson(ClientAccount const &Value);
std::string encodeJson(BackendServer const &Value);
Result<Service> decodeService(std::string const &Json);
Result<ClientAccount> decodeClientAccount(std::string const &Json);
Result<BackendServer> decodeBackendServer(std::string const &Json);

} // namespace laburnum
