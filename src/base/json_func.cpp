/** @file json_func.cpp JSON parser on top of nlohmann-json, with limits that it lacks. */
#include "base/json_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>
#include <vector>

namespace cornelwell {

namespace {

constexpr std::size_t NAME_LENGTH_MAX = 64; ///< In characters.

/** Parser callback that detects duplicate keys and excessive nesting. */
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
            m_duplicateKey = value.get<std::string>();
        return true;
    }

    /** @return the last duplicate key; empty when there is none. */
    const std::string &duplicateKey() const { return m_duplicateKey; }
    /** @return true when the nesting exceeds the limit. */
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
    std::vector<std::set<std::string>> m_keys; ///< Keys of each open object or array.
    std::string m_duplicateKey;
    bool m_tooDeep = false;
};

/**
 * Finds the nesting depth of brackets before parsing. It does not recurse, so that malicious text
 * cannot exhaust the stack.
 */
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

/** @return the line that contains the byte at @p offset, as "line N". */
std::string lineAt(const std::string &text, std::size_t offset)
{
    const std::size_t end = std::min(offset, text.size());
    const auto line
        = 1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(end), '\n');
    return "line " + std::to_string(line);
}

/** @return the message of nlohmann-json without its "[json.exception...]" prefix. */
std::string messageWithoutPrefix(const std::string &what)
{
    const auto bracket = what.find("] ");
    return bracket == std::string::npos ? what : what.substr(bracket + 2);
}

} // namespace

Result<nlohmann::json> parseJson(const std::string &text, const JsonOptions &options)
{
    if (text.size() > options.bytesMax)
        return fail(options.syntaxCode, std::to_string(text.size()) + " bytes; at most "
                                            + std::to_string(options.bytesMax) + " are allowed");
    if (!options.allowComments && nestingDepth(text) > options.depthMax)
        return fail(options.syntaxCode, "nested deeper than " + std::to_string(options.depthMax));
    ParseGuard guard(options.depthMax);
    try {
        nlohmann::json document
            = nlohmann::json::parse(text, std::ref(guard), true, options.allowComments);
        if (guard.tooDeep())
            return fail(options.syntaxCode,
                        "nested deeper than " + std::to_string(options.depthMax));
        if (!guard.duplicateKey().empty())
            return fail(options.duplicateCode, "duplicate key '" + guard.duplicateKey() + "'");
        return document;
    } catch (const nlohmann::json::parse_error &error) {
        return fail(options.syntaxCode, messageWithoutPrefix(error.what()),
                    lineAt(text, error.byte));
    } catch (const nlohmann::json::exception &error) {
        return fail(options.syntaxCode, messageWithoutPrefix(error.what()));
    }
}

bool isPlainName(const std::string &text)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= NAME_LENGTH_MAX
           && std::all_of(text.begin(), text.end(), allowed);
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
