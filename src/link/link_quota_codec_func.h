/** @file link_quota_codec_func.h Messages of quotas as arrays; the kind, their first element, is
 * left to the caller. */
#pragma once

#include "quota/quota_type.h"

#include <nlohmann/json_fwd.hpp>

namespace cornelwell {

/** @return the message as an array whose first element is null. */
nlohmann::json quotaToJson(const QuotaRequest &request);
/** @return the message as an array whose first element is null. */
nlohmann::json quotaToJson(const QuotaGrant &grant);
/** @return the message as an array whose first element is null. */
nlohmann::json quotaToJson(const QuotaExchange &exchange);
/** @return the message; throws when it is damaged. */
QuotaRequest quotaRequestFromJson(const nlohmann::json &list);
/** @return the message; throws when it is damaged. */
QuotaGrant quotaGrantFromJson(const nlohmann::json &list);
/** @return the message; throws when it is damaged. */
QuotaExchange quotaExchangeFromJson(const nlohmann::json &list);

} // namespace cornelwell
