#include "text.h"

#include <cstdio>
#include <poplardeal/deployment/limits.h>

namespace poplardeal {

std::string_view toString(scope s)
{
    switch (s) {
    case scope::worker:
        return "worker";
    case scope::rack:
        return "rack";
    case scope::data_centre:
        return "data-centre";
    case scope::anywhere:
        return "anywhere";
    }
    return "anywhere";
}

std::string_view toString(job_priority p)
{
    switch (p) {
    case job_priority::urgent:
        return "urgent";
    case job_priority::guaranteed:
        return "guaranteed";
    case job_priority::borrowed:
        return "borrowed";
    }
    return "borrowed";
}

namespace detail {

    std::string clockText(std::chrono::minutes sinceMidnight)
    {
        char text[48];
        const auto minutes = static_cast<long long>(sinceMidnight.count());
        const auto length = std::snprintf(text, sizeof text, "%02lld:%02lld", minutes / 60, minutes % 60);
        return { text, static_cast<std::size_t>(length) };
    }

    std::string quoted(std::string_view text) { return "\"" + std::string(text) + "\""; }

    std::string tomlString(std::string_view text)
    {
        static constexpr char hexDigits[] = "0123456789ABCDEF";
        std::string out = "\"";
        for (const char c : text) {
            const auto byte = static_cast<unsigned char>(c);
            if (c == '"' || c == '\\')
                out += std::string("\\") + c;
            else if (byte < 0x20 || byte == 0x7f)
                out += std::string("\\u00") + hexDigits[byte / 16] + hexDigits[byte % 16];
            else
                out += c;
        }
        return out + "\"";
    }

    static bool isAlphanumeric(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    }

    std::string nameFault(std::string_view name)
    {
        if (name.empty())
            return "a name must not be empty";
        if (name.size() > limits::nameBytes)
            return "a name has at most " + std::to_string(limits::nameBytes) + " characters";
        if (!isAlphanumeric(name.front()))
            return "a name starts with a letter or a digit";
        for (const char c : name) {
            if (!isAlphanumeric(c) && c != '-' && c != '_' && c != '.')
                return "a name holds only letters, digits, '-', '_' and '.'";
        }
        return "";
    }

} // namespace detail
} // namespace poplardeal
