#include <poplardeal/jobs/codec.h>
#include <stdexcept>

namespace poplardeal {

namespace {

    /// Counts values and how deep they are nested; stops at one too many.
    class size_checker : public nlohmann::json_sax<nlohmann::json> {
    public:
        explicit size_checker(std::size_t maxValues)
            : m_maxValues(maxValues)
        {
        }

        bool isTooDeep() const { return m_depth > maxCborDepth; }
        bool hasTooManyValues() const { return m_values > m_maxValues; }

        bool null() override { return count(); }
        bool boolean(bool) override { return count(); }
        bool number_integer(number_integer_t) override { return count(); }
        bool number_unsigned(number_unsigned_t) override { return count(); }
        bool number_float(number_float_t, const string_t&) override { return count(); }
        bool string(string_t&) override { return count(); }
        bool binary(binary_t&) override { return count(); }
        bool key(string_t&) override { return true; }
        bool start_object(std::size_t) override { return enter(); }
        bool start_array(std::size_t) override { return enter(); }
        bool end_object() override { return leave(); }
        bool end_array() override { return leave(); }
        bool parse_error(std::size_t, const std::string&, const nlohmann::json::exception&) override { return false; }

    private:
        bool count() { return ++m_values <= m_maxValues; }
        bool enter() { return count() && ++m_depth <= maxCborDepth; }
        bool leave()
        {
            --m_depth;
            return true;
        }

        std::size_t m_maxValues;
        std::size_t m_values { 0 };
        std::size_t m_depth { 0 };
    };

} // namespace

void requireBoundedCbor(std::string_view bytes, std::size_t maxValues)
{
    size_checker checker(maxValues);
    if (nlohmann::json::sax_parse(bytes.begin(), bytes.end(), &checker, nlohmann::json::input_format_t::cbor))
        return;
    if (checker.isTooDeep())
        throw std::runtime_error("CBOR nested deeper than " + std::to_string(maxCborDepth) + " levels");
    if (checker.hasTooManyValues())
        throw std::runtime_error("CBOR of more than " + std::to_string(maxValues) + " values");
    throw std::runtime_error("malformed CBOR");
}

} // namespace poplardeal
