#include <LibFleet/OperatorExpectation.h>

#include <LibModel/JsonCodec.h>

namespace laburnum {

Version expectedVersion(Version Requested, HeldObject const &Held) {
  bool const IsTombstone = Held && Held->IsDeleted_;
  return Requested == 0 && IsTombstone ? Held->Version_ : Requested;
}

bool isNewer(HeldObject const &Held, Version Expected) {
  return Held && Held->Version_ > expectedVersion(Expected, Held);
}

Result<RetainedKey> accountKeyAt(ObjectName const &Name, Version Expected,
                                 HeldObject const &Held) {
  if (Expected == 0 || (Held && Held->IsDeleted_))
    return Error{ErrorKind::InvalidArgument,
                 "the account " + Name.Name_ + " has no key yet",
                 "give a key when the account is made"};
  if (!Held || Held->Version_ != Expected)
    return Error{ErrorKind::Unavailable,
                 "this instance has not got version " +
                     std::to_string(Expected) + " of the account " + Name.Name_,
                 "send the change again later, or give a new key"};
  auto const Decoded = decodeClientAccount(Held->Specification_);
  if (isError(Decoded))
    return errorOf(Decoded);
  return RetainedKey{valueOf(Decoded).KeyDigest_, valueOf(Decoded).KeyHint_};
}

} // namespace laburnum
