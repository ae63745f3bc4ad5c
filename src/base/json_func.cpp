/** @file json_func.cpp Parses JSON text by nlohmann-json, with bounds of our own. */
#include "base/json_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>
#include <vector>

namespace cornelwell {

namespace {

constexpr std::size_t NAME_LENGTH_MAX = 64; ///< Characters of a plain name.

/** Watches the parse for keys that stand twice and for depth. */
class ParseGuard
{
public:
    explicit ParseGuard(std::size_t depthMax) : m_depthMax(depthMax) {}

    bool operator()(int depth, nlohmann::json::parse_event_t event, const nlohmann::json &value)
    {
        using E = nlohmann::json::parse_event_t;
        if (event == E::object_start || event == E::array_start)
            return enter(depth, event == E::object_start);
        if (event == E::object_end || event == E::array_end)
            m_keys.pop_back();
        if (event == E::key && !m_keys.back().insert(value.get<std::string>()).second)
            m_duplicate = value.get<std::string>();
        return true;
    }

    const std::string &duplicate() const { return m_duplicate; }
    bool tooDeep() const { return m_tooDeep; }

private:
    bool enter(int depth, bool)
    {
        if (static_cast<std::size_t>(depth) >= m_depthMax)
            m_tooDeep = true;
        m_keys.emplace_back();
        return true;
    }

    std::size_t m_depthMax;
    std::vector<std::set<std::string>> m_keys;
    std::string m_duplicate;
    bool m_tooDeep = false;
};

/** Deepest nesting of brackets, without recursion, so that hostile text cannot use up the stack. */
std::size_t nestingDepth(const std::string &text)
{
    std::size_t depth = 0;
    std::size_t deepest = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); i++) {
        const char c = text[i];
        if (inString && c == '\\') {
            i++;
            continue;
        }
        if (c == '"')
            inString = !inString;
        if (inString)
            continue;
        if (c == '{' || c == '[')
            deepest = std::max(deepest, ++depth);
        if ((c == '}' || c == ']') && depth > 0)
            depth--;
    }
    return deepest;
}

std::string lineOf(const std::string &text, std::size_t byte)
{
    const std::size_t end = std::min(byte, text.size());
    const auto line
        = 1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(end), '\n');
    return "line " + std::to_string(line);
}

/** The parser's own message without its number. */
std::string plainMessage(const std::string &what)
{
    const auto bracket = what.find("] ");
    return bracket == std::string::npos ? what : what.substr(bracket + 2);
}

} // namespace

Result<nlohmann::json> parseJson(const std::string &text, const JsonOptions &options)
{
    if (text.size() > options.bytesMax)
        return fail(options.syntaxCode, std::to_string(text.size()) + " bytes; at most "
                                            + std::to_string(options.bytesMax) + " are read");
    if (!options.comments && nestingDepth(text) > options.depthMax)
        return fail(options.syntaxCode, "nested deeper than " + std::to_string(options.depthMax));
    ParseGuard guard(options.depthMax);
    try {
        nlohmann::json document
            = nlohmann::json::parse(text, std::ref(guard), true, options.comments);
        if (guard.tooDeep())
            return fail(options.syntaxCode,
                        "nested deeper than " + std::to_string(options.depthMax));
        if (!guard.duplicate().empty())
            return fail(options.duplicateCode, "key '" + guard.duplicate() + "' stands twice");
        return document;
    } catch (const nlohmann::json::parse_error &error) {
        return fail(options.syntaxCode, plainMessage(error.what()), lineOf(text, error.byte));
    } catch (const nlohmann::json::exception &error) {
        return fail(options.syntaxCode, plainMessage(error.what()));
    }
}

bool isPlainName(const std::string &text)
{
    const auto plain = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= NAME_LENGTH_MAX
           && std::all_of(text.begin(), text.end(), plain);
}

Result<std::string> readFile(const std::string &path, ResultCode code)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    if (!file || !(content << file.rdbuf()))
        return fail(code, "cannot be read", path);
    return content.str();
}

} // namespace cornelwell
