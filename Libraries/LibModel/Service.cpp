#include <LibModel/Service.h>

#include <algorithm>

namespace laburnum {

namespace {

bool isSafeMethod(std::string const &Method) {
  return Method == "GET" || Method == "HEAD" || Method == "OPTIONS";
}

bool matches(CallPattern const &Pattern, std::string const &Method,
             std::string const &Path) {
  if (Pattern.Method_.empty() && isSafeMethod(Method))
    return false;
  if (!Pattern.Method_.empty() && Pattern.Method_ != Method)
    return false;
  return Path.starts_with(Pattern.PathPrefix_);
}

} // namespace

bool isNonIdempotent(Service const &Owner, std::string const &Method,
                     std::string const &Path) {
  if (Owner.Kind_ == ServiceKind::Model)
    return false;
  return std::any_of(Owner.NonIdempotentCalls_.begin(),
                     Owner.NonIdempotentCalls_.end(),
                     [&](CallPattern const &Pattern) {
                       return matches(Pattern, Method, Path);
                     });
}

} // namespace laburnum
