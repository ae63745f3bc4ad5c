/** @file foreign_json_func.cpp Replaces what the parser would refuse a whole text for. */
#include "base/foreign_json_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdlib>

namespace cornelwell {

namespace {

using Json = nlohmann::json;

constexpr std::size_t FAULTS_MAX = 64;      ///< Further faults are replaced without a record.
constexpr std::size_t KEY_LENGTH_MAX = 64;  ///< Longest part of a key in a fault's place.
constexpr unsigned char CONTROL_END = 0x20; ///< Smaller bytes are control characters.
constexpr unsigned char ASCII_END = 0x80;

bool isContinuation(char byte)
{
    return (static_cast<unsigned char>(byte) & 0xC0U) == 0x80;
}

/** @return bytes of the UTF-8 sequence at @p at; 0 when there is none. */
std::size_t utf8Length(std::string_view text, std::size_t at)
{
    const auto first = static_cast<unsigned char>(text[at]);
    const std::size_t length = first < ASCII_END               ? 1
                               : first >= 0xC2 && first < 0xE0 ? 2
                               : first >= 0xE0 && first < 0xF0 ? 3
                               : first >= 0xF0 && first < 0xF5 ? 4
                                                               : 0;
    if (length == 0 || at + length > text.size())
        return 0;
    for (std::size_t i = 1; i < length; i++) {
        if (!isContinuation(text[at + i]))
            return 0;
    }
    // Overlong forms, surrogates and values above U+10FFFF.
    const auto second = length > 1 ? static_cast<unsigned char>(text[at + 1]) : 0;
    const bool invalid = (first == 0xE0 && second < 0xA0) || (first == 0xED && second >= 0xA0)
                         || (first == 0xF0 && second < 0x90) || (first == 0xF4 && second >= 0x90);
    return invalid ? 0 : length;
}

/** Walks over the tokens of a text without recursion and replaces parts in place. */
class ForeignJsonMask
{
public:
    ForeignJsonMask(std::string &text, std::size_t depthMax, std::vector<JsonFault> &faults)
        : m_text(text), m_depthMax(depthMax), m_faults(faults)
    {}

    void run()
    {
        while (m_at < m_text.size()) {
            const char c = m_text[m_at];
            if (c == '"')
                takeString();
            else if (c == '{' || c == '[')
                open(c == '[');
            else if (c == '}' || c == ']')
                close();
            else if (c == ',')
                nextElement();
            else if (c == '-' || (c >= '0' && c <= '9'))
                takeNumber();
            else
                m_at++;
        }
    }

private:
    struct Level
    {
        bool isArray = false;
        std::size_t index = 0;
        std::string key;
        bool expectsKey = false;
    };

    void open(bool isArray)
    {
        if (m_levels.size() >= m_depthMax) {
            skipNested();
            return;
        }
        m_levels.push_back({isArray, 0, {}, !isArray});
        m_at++;
    }

    void close()
    {
        if (!m_levels.empty())
            m_levels.pop_back();
        m_at++;
    }

    void nextElement()
    {
        if (!m_levels.empty()) {
            m_levels.back().index++;
            m_levels.back().expectsKey = !m_levels.back().isArray;
        }
        m_at++;
    }

    void takeString()
    {
        const std::size_t begin = ++m_at;
        bool faulty = false;
        while (m_at < m_text.size() && m_text[m_at] != '"') {
            const std::size_t length = utf8Length(m_text, m_at);
            if (length == 0 || static_cast<unsigned char>(m_text[m_at]) < CONTROL_END) {
                m_text[m_at++] = '?';
                faulty = true;
            } else {
                m_at += m_text[m_at] == '\\' ? 2 : length;
            }
        }
        m_at = std::min(m_at, m_text.size());
        if (!m_levels.empty() && m_levels.back().expectsKey) {
            m_levels.back().key = m_text.substr(begin, std::min(m_at - begin, KEY_LENGTH_MAX));
            m_levels.back().expectsKey = false;
        }
        if (faulty)
            record("a text with bytes that are no characters");
        m_at++;
    }

    void takeNumber()
    {
        const std::size_t begin = m_at;
        m_at = std::min(m_text.find_first_not_of("0123456789+-.eE", m_at), m_text.size());
        const std::string number = m_text.substr(begin, m_at - begin);
        if (std::isfinite(std::strtod(number.c_str(), nullptr)))
            return;
        replace(begin, m_at);
        record("a number out of range");
    }

    /** Replaces the object or array at the current position. */
    void skipNested()
    {
        const std::size_t begin = m_at;
        std::size_t depth = 0;
        bool inString = false;
        for (; m_at < m_text.size(); m_at++) {
            const char c = m_text[m_at];
            if (inString && c == '\\')
                m_at++;
            else if (c == '"')
                inString = !inString;
            else if (!inString && (c == '{' || c == '['))
                depth++;
            else if (!inString && (c == '}' || c == ']') && --depth == 0)
                break;
        }
        if (m_at >= m_text.size())
            return;
        replace(begin, ++m_at);
        record("nested deeper than " + std::to_string(m_depthMax));
    }

    /** An empty object is as short as any part, and no reader takes it for a value of its own. */
    void replace(std::size_t begin, std::size_t end)
    {
        std::fill(m_text.begin() + static_cast<std::ptrdiff_t>(begin),
                  m_text.begin() + static_cast<std::ptrdiff_t>(end), ' ');
        m_text[begin] = '{';
        m_text[begin + 1] = '}';
    }

    void record(std::string detail)
    {
        if (m_faults.size() >= FAULTS_MAX)
            return;
        std::string where;
        for (const Level &level : m_levels)
            where += "/" + (level.isArray ? std::to_string(level.index) : level.key);
        m_faults.push_back({std::move(where), std::move(detail)});
    }

    std::string &m_text;
    const std::size_t m_depthMax;
    std::vector<JsonFault> &m_faults;
    std::vector<Level> m_levels;
    std::size_t m_at = 0;
};

/** Builds the document, unless it is nested too deep. */
class BoundedDom : public nlohmann::detail::json_sax_dom_parser<Json>
{
public:
    BoundedDom(Json &result, std::size_t depthMax)
        : json_sax_dom_parser(result, true), m_depthMax(depthMax)
    {}

    bool start_object(std::size_t size)
    {
        return ++m_depth <= m_depthMax && json_sax_dom_parser::start_object(size);
    }
    bool end_object()
    {
        m_depth--;
        return json_sax_dom_parser::end_object();
    }
    bool start_array(std::size_t size)
    {
        return ++m_depth <= m_depthMax && json_sax_dom_parser::start_array(size);
    }
    bool end_array()
    {
        m_depth--;
        return json_sax_dom_parser::end_array();
    }

private:
    const std::size_t m_depthMax;
    std::size_t m_depth = 0;
};

} // namespace

Result<Json> parseForeignJson(const std::string &text, const JsonOptions &options,
                              std::vector<JsonFault> &faults)
{
    if (text.size() > options.bytesMax)
        return fail(options.syntaxCode, std::to_string(text.size()) + " bytes; at most "
                                            + std::to_string(options.bytesMax) + " are allowed");
    std::string masked = text;
    ForeignJsonMask(masked, options.depthMax, faults).run();
    Json value = Json::parse(masked, nullptr, false);
    if (value.is_discarded())
        return fail(options.syntaxCode, "not JSON");
    return value;
}

Result<Json> parseCbor(std::string_view bytes, std::size_t depthMax, ResultCode code)
{
    try {
        Json value;
        BoundedDom builder(value, depthMax);
        if (!Json::sax_parse(bytes.begin(), bytes.end(), &builder, Json::input_format_t::cbor))
            return fail(code, "no CBOR, or nested deeper than " + std::to_string(depthMax));
        return value;
    } catch (const Json::exception &error) {
        return fail(code, error.what());
    }
}

std::optional<std::uint64_t> parseUnsigned(std::string_view text, int base)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number, base);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return number;
}

} // namespace cornelwell
