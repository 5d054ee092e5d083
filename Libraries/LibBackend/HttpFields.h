#pragma once

#include <LibBackend/BackendClient.h>

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

/// Whether the end of the answer's body is marked by something other than the
/// end of the connection.
bool isFramed(std::string const &Method, httplib::Response const &Response);

} // namespace laburnum
