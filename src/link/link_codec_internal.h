/** @file link_codec_internal.h JSON helpers of the link codec; private to the slice. */
#pragma once

#include "routes/route_update.h"

#include <nlohmann/json.hpp>

#include <string>

namespace cornelwell::link_json {

using Json = nlohmann::json;

/** @return an element that daemons of an earlier build leave out, or @p fallback. */
template<typename T>
T optionalAt(const Json &list, std::size_t index, T fallback)
{
    return index < list.size() ? list[index].get<T>() : fallback;
}

inline Json toBinaryJson(const std::string &text)
{
    return Json::binary(std::vector<std::uint8_t>(text.begin(), text.end()));
}

inline std::string bytesFromJson(const Json &value)
{
    const auto &bytes = value.get_binary();
    return {bytes.begin(), bytes.end()};
}

/** Appends the elements of an update to its message, which has its kind. */
void appendUpdate(Json &list, const RouteUpdate &update);
/** @return the update in a message; throws when it is malformed. */
RouteUpdate updateFromJson(const Json &list);

} // namespace cornelwell::link_json
