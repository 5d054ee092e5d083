#pragma once

#include <LibBackend/BackendClient.h>
#include <LibBackend/TracedClient.h>

#include <httplib.h>

namespace laburnum {

/// Whether method, path and fields are free of control characters and blanks
/// where HTTP forbids them, so that they cannot inject fields or requests.
bool isSendable(PlainCall const &Call);

/// The request of a plain call, without the hop-by-hop fields of the caller's
/// connection.
httplib::Request plainRequest(PlainCall const &Call);

httplib::Request completionRequest(CompletionCall const &Call);

httplib::Request cancelRequest(CompletionCall const &Call);

/// Whether an answer that httplib accepted is complete: its end is marked by
/// its framing, not by the end of the connection, and the mark was read.
bool hasCompleteBody(std::string const &Method,
                     httplib::Response const &Response,
                     ConnectionTrace const &Trace);

} // namespace laburnum
