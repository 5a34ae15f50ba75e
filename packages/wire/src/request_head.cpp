#include "request_head.h"
#include <charconv>
#include <glib.h>
#include <string_view>
#include <utility>

namespace poplardeal::detail {

namespace {

    bool isField(std::string_view name, std::string_view expected)
    {
        return name.size() == expected.size() && g_ascii_strncasecmp(name.data(), expected.data(), name.size()) == 0;
    }

    std::string_view trim(std::string_view text)
    {
        const auto first = text.find_first_not_of(" \t\r\n");
        return first == text.npos ? std::string_view()
                                  : text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
    }

    /// A number over 64 bits is over any limit.
    std::optional<refusal_reason> readLength(std::string_view value, std::size_t maxBody, std::size_t& length)
    {
        if (value.empty() || value.find_first_not_of("0123456789") != value.npos)
            return refusal_reason::malformed;
        const auto read = std::from_chars(value.data(), value.data() + value.size(), length);
        if (read.ec != std::errc() || length > maxBody)
            return refusal_reason::body_too_large;
        return std::nullopt;
    }

} // namespace

std::size_t findHeadEnd(const std::string& bytes, std::size_t from)
{
    for (auto at = bytes.find('\n', from); at != bytes.npos; at = bytes.find('\n', at + 1)) {
        if (bytes.compare(at + 1, 1, "\n") == 0)
            return at + 2;
        if (bytes.compare(at + 1, 2, "\r\n") == 0)
            return at + 3;
    }
    return 0;
}

request_head takeRequestHead(std::string& bytes, std::size_t size, std::size_t maxFields, std::size_t maxBody)
{
    request_head head;
    head.size = size;
    bool hasLength = false;
    const auto fail = [&head](refusal_reason reason) {
        if (!head.fault)
            head.fault = reason;
    };
    if (bytes.find('\0') < size)
        fail(refusal_reason::malformed);
    // The request line is libsoup's to judge.
    for (auto begin = bytes.find('\n') + 1; begin < head.size && !head.fault;) {
        const auto end = bytes.find('\n', begin) + 1;
        const auto line = std::string_view(bytes).substr(begin, end - begin);
        const auto colon = line.find(':');
        const auto name = line.substr(0, colon);
        if (!trim(line).empty() && ++head.fields > maxFields)
            fail(refusal_reason::head_too_large);
        if (colon == line.npos) {
            begin = end;
            continue;
        }
        const auto value = trim(line.substr(colon + 1));
        const bool isContinued = name.starts_with(' ') || name.starts_with('\t');
        if (!isContinued && name.find_first_of(" \t\r") != name.npos)
            fail(refusal_reason::malformed);
        else if (isField(name, "transfer-encoding"))
            // libsoup 3.2.3 takes a connection that ends between two chunks for the end of the body.
            fail(refusal_reason::no_length);
        else if (isField(name, "content-length")) {
            if (const auto fault = std::exchange(hasLength, true) ? refusal_reason::malformed
                                                                  : readLength(value, maxBody, head.bodySize))
                fail(*fault);
        } else if (isField(name, "expect")) {
            head.expectsContinue = true;
            bytes.erase(begin, end - begin);
            head.size -= end - begin;
            continue;
        }
        begin = end;
    }
    return head;
}

} // namespace poplardeal::detail
