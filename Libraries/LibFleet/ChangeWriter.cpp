#include <LibFleet/ChangeWriter.h>

#include <LibFleet/ChangeChecks.h>

#include <algorithm>

namespace laburnum {

namespace {

/// Audit entries stored in the object itself; if there are more, the oldest are
/// moved to a page.
constexpr std::size_t MaxInlineEntries = 50;
constexpr std::size_t EntriesPerPage = 25;
/// Attempts of a change that races with other operators' changes, and attempts
/// to resolve the outcome of one write.
constexpr int MaxAttempts = 8;
constexpr int MaxResolveAttempts = 4;

ObjectKey keyOf(ObjectName const &Name) {
  return {toString(Name.Kind_), Name.Name_};
}

ObjectKey pageKey(ObjectName const &Name, std::uint64_t Number) {
  return {"audit", toString(Name.Kind_) + "." + Name.Name_ + "." +
                       std::to_string(Number)};
}

bool contains(std::vector<ChangeRecord> const &Entries, ChangeId const &Id) {
  return std::any_of(
      Entries.begin(), Entries.end(),
      [&](ChangeRecord const &Record) { return Record.Change_ == Id; });
}

AcceptedChange outcome(ObjectName const &Name, Version At,
                       StoredConfiguration const &Stored, Repeated Again) {
  return {{Name, At, Stored.IsDeleted_, Stored.Specification_,
           changeVersionOf(Stored)},
          Again};
}

std::string label(ObjectName const &Name) {
  return toString(Name.Kind_) + " \"" + Name.Name_ + "\"";
}

VersionConflict conflict(Change const &Requested, Version Current) {
  return {Current,
          {ErrorKind::Conflict,
           label(Requested.Name_) + " is at version " +
               std::to_string(Current) + "; nothing changed",
           "read it again and send a new change that expects version " +
               std::to_string(Current)}};
}

Error nothingChanged(Change const &Requested) {
  return {ErrorKind::Unavailable,
          "the change of " + label(Requested.Name_) +
              " did not take effect; nothing changed",
          "send it again later"};
}

Error unknown(Change const &Requested) {
  return {ErrorKind::OutcomeUnknown,
          "the change of " + label(Requested.Name_) +
              " may or may not have taken effect",
          "send it again with the same change identifier"};
}

Error behind(Change const &Requested, Version Current) {
  return {ErrorKind::OutcomeUnknown,
          "the platform shows version " + std::to_string(Current) + " of " +
              label(Requested.Name_) + ", which is older than the expected one",
          "send it again with the same change identifier; if this stays, read "
          "the object and expect its present version"};
}

/// A tombstone without audit entries was only written to resolve a lost write:
/// the object never existed, so the expected version 0 matches it. A tombstone
/// of a deletion is expected at its own version: if 0 matched it, a stale read
/// from before the deletion would look like a conflict.
bool isExpected(Change const &Requested, Version Current,
                StoredConfiguration const &Stored) {
  if (!Requested.Expected_ || *Requested.Expected_ == Current)
    return true;
  bool const NeverWas = Stored.Audit_.empty() && Stored.ArchivedPages_ == 0;
  return *Requested.Expected_ == 0 && Stored.IsDeleted_ && NeverWas;
}

StoredConfiguration changed(Change const &Requested, Version Replaced,
                            StoredConfiguration Next) {
  Next.IsDeleted_ = Requested.Change_ == ChangeKind::Delete;
  Next.Specification_ = Next.IsDeleted_ ? "" : Requested.Specification_;
  Next.LastChange_ = Requested.Id_;
  Next.Audit_.push_back({Requested.Id_, Requested.Change_, Requested.Operator_,
                         Requested.UnixTime_, Replaced,
                         detail::auditedSpecification(Requested),
                         Requested.Instance_});
  return Next;
}

} // namespace

bool isError(ChangeResult const &Outcome) {
  return !std::holds_alternative<AcceptedChange>(Outcome);
}

Error const &errorOf(ChangeResult const &Outcome) {
  if (auto const *Conflict = std::get_if<VersionConflict>(&Outcome))
    return Conflict->Error_;
  return std::get<Error>(Outcome);
}

AcceptedChange const &valueOf(ChangeResult const &Outcome) {
  return std::get<AcceptedChange>(Outcome);
}

ChangeResult ChangeWriter::apply(Change const &Requested) {
  auto const Checked = detail::checkChange(Requested);
  if (isError(Checked))
    return errorOf(Checked);
  Version MinVersion = 0;
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    auto Outcome = attempt(Requested, MinVersion);
    if (Outcome)
      return std::move(*Outcome);
  }
  // Each attempt met a conflict or a stale read, and no read was recent enough
  // to show whether an earlier request with this change was accepted.
  return unknown(Requested);
}

std::optional<ChangeResult> ChangeWriter::attempt(Change const &Requested,
                                                  Version &MinVersion) {
  auto const Before = read(keyOf(Requested.Name_));
  if (isError(Before))
    return errorOf(Before);
  auto const &Seen = valueOf(Before);
  auto const Accepted = wasAccepted(Requested.Name_, Requested.Id_, Seen);
  if (isError(Accepted))
    return errorOf(Accepted);
  if (valueOf(Accepted))
    return outcome(Requested.Name_, Seen.Version_, Seen.Stored_, Repeated::Yes);
  if (MinVersion != 0 && Seen.Version_ < MinVersion)
    return std::nullopt;
  if (!isExpected(Requested, Seen.Version_, Seen.Stored_)) {
    if (Seen.Version_ < *Requested.Expected_)
      return behind(Requested, Seen.Version_);
    return conflict(Requested, Seen.Version_);
  }
  if (Requested.Change_ == ChangeKind::Delete && Seen.Stored_.IsDeleted_)
    return Error{ErrorKind::NotFound,
                 label(Requested.Name_) + " does not exist", "check its name"};
  return write(Requested, Seen, MinVersion);
}

std::optional<ChangeResult> ChangeWriter::write(Change const &Requested,
                                                CurrentObject const &Before,
                                                Version &MinVersion) {
  auto Next = changed(Requested, Before.Version_, Before.Stored_);
  auto const Archived = archive(Requested.Name_, Next);
  if (isError(Archived))
    return errorOf(Archived);
  auto const Written = Store_.putIf(keyOf(Requested.Name_), Before.Version_,
                                    encodeStored(Next), Timeout_);
  if (!isError(Written))
    return outcome(Requested.Name_, valueOf(Written), Next, Repeated::No);
  switch (errorOf(Written).Kind_) {
  case ErrorKind::Conflict:
    // A read below this version is stale and cannot decide the change.
    MinVersion = Before.Version_ + 1;
    return std::nullopt;
  case ErrorKind::OutcomeUnknown:
  case ErrorKind::DeadlineExceeded:
    return afterLostAnswer(Requested, Before);
  default:
    return errorOf(Written);
  }
}

std::optional<ChangeResult>
ChangeWriter::afterLostAnswer(Change const &Requested,
                              CurrentObject const &Before) {
  switch (resolveWrite(Requested, Before)) {
  case WriteResolution::Accepted: {
    auto const Now = read(keyOf(Requested.Name_));
    if (isError(Now) || !contains(valueOf(Now).Stored_.Audit_, Requested.Id_))
      return unknown(Requested);
    return outcome(Requested.Name_, valueOf(Now).Version_, valueOf(Now).Stored_,
                   Repeated::No);
  }
  case WriteResolution::NotApplied:
    return nothingChanged(Requested);
  case WriteResolution::Unknown:
    return unknown(Requested);
  }
  return unknown(Requested);
}

/// The lost write was conditional on Before's version, so its outcome is known
/// once the object is read at a higher version, with or without the change;
/// rewriting the unchanged value under the same condition forces a higher
/// version. A read at or below Before's version decides nothing: it may be
/// stale, and the write may still be in flight.
ChangeWriter::WriteResolution
ChangeWriter::resolveWrite(Change const &Requested,
                           CurrentObject const &Before) {
  auto const Key = keyOf(Requested.Name_);
  for (int Try = 0; Try < MaxResolveAttempts; ++Try) {
    auto const Now = read(Key);
    if (!isError(Now)) {
      auto const Accepted =
          wasAccepted(Requested.Name_, Requested.Id_, valueOf(Now));
      if (!isError(Accepted) && valueOf(Accepted))
        return WriteResolution::Accepted;
      if (!isError(Accepted) && valueOf(Now).Version_ > Before.Version_)
        return WriteResolution::NotApplied;
    }
    auto const Rewritten =
        Store_.putIf(Key, Before.Version_, Before.Value_, Timeout_);
    if (!isError(Rewritten))
      return WriteResolution::NotApplied;
  }
  return WriteResolution::Unknown;
}

Result<ChangeWriter::CurrentObject> ChangeWriter::read(ObjectKey const &Key) {
  auto const Stored = Store_.get(Key, Timeout_);
  if (isError(Stored))
    return errorOf(Stored);
  CurrentObject Found;
  Found.Version_ = valueOf(Stored).Version_;
  if (Found.Version_ == 0) {
    // A rewrite of an absent object stores a tombstone.
    Found.Stored_.IsDeleted_ = true;
    Found.Value_ = encodeStored(Found.Stored_);
    return Found;
  }
  auto Decoded = decodeStored(valueOf(Stored).Value_);
  if (isError(Decoded))
    return Error{ErrorKind::Internal,
                 Key.Collection_ + " \"" + Key.Name_ +
                     "\" is damaged: " + errorOf(Decoded).Message_,
                 errorOf(Decoded).Remedy_};
  Found.Stored_ = takeValue(std::move(Decoded));
  Found.Value_ = valueOf(Stored).Value_;
  return Found;
}

Result<std::optional<AcceptedChange>>
ChangeWriter::acceptedBefore(ObjectName const &Name, ChangeId const &Id,
                             Version AtLeast) {
  auto const Now = read(keyOf(Name));
  if (isError(Now))
    return errorOf(Now);
  auto const &Seen = valueOf(Now);
  auto const Accepted = wasAccepted(Name, Id, Seen);
  if (isError(Accepted))
    return errorOf(Accepted);
  if (valueOf(Accepted))
    return std::optional(
        outcome(Name, Seen.Version_, Seen.Stored_, Repeated::Yes));
  if (Seen.Version_ >= AtLeast)
    return std::optional<AcceptedChange>();
  return Error{ErrorKind::Unavailable,
               "the platform shows an old version of " + label(Name),
               "send the change again later"};
}

Result<bool> ChangeWriter::wasAccepted(ObjectName const &Name,
                                       ChangeId const &Id,
                                       CurrentObject const &Now) {
  if (contains(Now.Stored_.Audit_, Id))
    return true;
  for (auto Page = Now.Stored_.ArchivedPages_; Page > 0; --Page) {
    auto const Entries = readPage(Name, Page - 1);
    if (isError(Entries))
      return errorOf(Entries);
    if (contains(valueOf(Entries), Id))
      return true;
  }
  return false;
}

/// As long as the number of pages is unchanged, the oldest entries are the same
/// in each version of the object, so that concurrent writers write identical
/// pages.
Result<Success> ChangeWriter::archive(ObjectName const &Name,
                                      StoredConfiguration &Next) {
  if (Next.Audit_.size() <= MaxInlineEntries)
    return Success{};
  auto const End = Next.Audit_.begin() + EntriesPerPage;
  std::vector<ChangeRecord> const Oldest(Next.Audit_.begin(), End);
  auto const Written =
      writePage(pageKey(Name, Next.ArchivedPages_), encodeAuditPage(Oldest));
  if (isError(Written))
    return errorOf(Written);
  Next.Audit_.erase(Next.Audit_.begin(), End);
  ++Next.ArchivedPages_;
  return Success{};
}

Result<Success> ChangeWriter::writePage(ObjectKey const &Key,
                                        std::string const &Value) {
  auto const Written = Store_.putIf(Key, 0, Value, Timeout_);
  if (!isError(Written))
    return Success{};
  auto const Kind = errorOf(Written).Kind_;
  if (Kind == ErrorKind::Unavailable || Kind == ErrorKind::ResourceExhausted)
    return errorOf(Written);
  auto const Stored = Store_.get(Key, Timeout_);
  if (!isError(Stored) && valueOf(Stored).Version_ != 0 &&
      valueOf(Stored).Value_ == Value)
    return Success{};
  return Error{ErrorKind::Unavailable,
               "the audit page \"" + Key.Name_ +
                   "\" could not be confirmed; nothing changed",
               "send the change again; if this stays, compare the page with "
               "the object's audit entries"};
}

Result<std::vector<ChangeRecord>> ChangeWriter::readPage(ObjectName const &Name,
                                                         std::uint64_t Number) {
  auto const Stored = Store_.get(pageKey(Name, Number), Timeout_);
  if (isError(Stored))
    return errorOf(Stored);
  if (valueOf(Stored).Version_ == 0)
    return Error{ErrorKind::Unavailable,
                 "an audit page of " + label(Name) + " cannot be read",
                 "try again later"};
  return decodeAuditPage(valueOf(Stored).Value_);
}

Result<std::vector<ChangeRecord>>
ChangeWriter::auditTrail(ObjectName const &Name, std::size_t Limit) {
  auto const Now = read(keyOf(Name));
  if (isError(Now))
    return errorOf(Now);
  auto const &Inline = valueOf(Now).Stored_.Audit_;
  std::vector<ChangeRecord> Newest(Inline.rbegin(), Inline.rend());
  auto Page = valueOf(Now).Stored_.ArchivedPages_;
  for (; Page > 0 && Newest.size() < Limit; --Page) {
    auto const Older = readPage(Name, Page - 1);
    if (isError(Older))
      return errorOf(Older);
    Newest.insert(Newest.end(), valueOf(Older).rbegin(), valueOf(Older).rend());
  }
  Newest.resize(std::min(Newest.size(), Limit));
  return Newest;
}

} // namespace laburnum
