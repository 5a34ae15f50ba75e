#pragma once

#include "gobject_ptr.h"
#include <libsoup/soup.h>
#include <poplardeal/wire/http.h>

namespace poplardeal::detail {

struct bytes_unref {
    void operator()(GBytes* bytes) const { g_bytes_unref(bytes); }
};
using bytes_ptr = std::unique_ptr<GBytes, bytes_unref>;

struct uri_unref {
    void operator()(GUri* uri) const { g_uri_unref(uri); }
};
using uri_ptr = std::unique_ptr<GUri, uri_unref>;

/// Names in lower case; repeated headers are joined by ", ".
http_headers readHeaders(SoupMessageHeaders*);

/// Sum of the sizes of names and values.
std::size_t headersSize(SoupMessageHeaders*);

/// Sets the headers except those that belong to one connection or that libsoup sets itself, and except malformed ones,
/// which could end the header block early.
void writeHeaders(SoupMessageHeaders*, const http_headers&);

/// Takes over the text without a copy.
bytes_ptr makeBytes(std::string);

/// Null if a part of the request cannot be put into a URI.
uri_ptr makeUri(const address& server, const http_request&);

/// Nothing if the path has a malformed escape.
std::optional<std::string> decodePath(const char* encoded);

bool isToken(std::string_view);

} // namespace poplardeal::detail
