#pragma once

#include <LibBackend/BackendClient.h>
#include <LibBackend/TracedClient.h>

#include <httplib.h>

namespace laburnum {

/// Whether method, path and fields can be written to a connection without
/// changing the shape of the request: no control characters or blanks where
/// HTTP forbids them.
bool isSendable(PlainCall const &Call);

/// The request of a plain call. Fields that belong to the caller's own
/// connection are left out.
httplib::Request plainRequest(PlainCall const &Call);

httplib::Request completionRequest(CompletionCall const &Call);

httplib::Request cancelRequest(CompletionCall const &Call);

/// Whether an answer that httplib took as finished is whole: its end is marked
/// by something other than the end of the connection, and the mark was read.
bool hasWholeBody(std::string const &Method, httplib::Response const &Response,
                  ConnectionTrace const &Trace);

} // namespace laburnum
