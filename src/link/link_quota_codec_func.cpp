/** @file link_quota_codec_func.cpp Fields of the messages of quotas in their order. */
#include "link/link_quota_codec_func.h"

#include "link/link_codec_internal.h"

#include <nlohmann/json.hpp>

namespace cornelwell {

using Json = nlohmann::json;

Json quotaToJson(const QuotaRequest &request)
{
    return {nullptr,          request.id,       request.tenant,  request.wanted,
            request.arrivals, request.fallback, request.repeated};
}

Json quotaToJson(const QuotaGrant &grant)
{
    return {nullptr,           grant.id, grant.tenant, grant.granted, grant.retryAfter.ms,
            grant.coordinating};
}

Json quotaToJson(const QuotaExchange &exchange)
{
    Json transfers = Json::array();
    for (const QuotaTransfer &transfer : exchange.transfers) {
        transfers.push_back(transfer.tenant);
        transfers.push_back(transfer.tokens);
    }
    return {nullptr,
            exchange.origin.text(),
            exchange.originDataCentre.text(),
            exchange.recipient.text(),
            exchange.dataCentre.text(),
            exchange.sequence,
            exchange.gives,
            exchange.relayed,
            transfers};
}

QuotaRequest quotaRequestFromJson(const Json &list)
{
    return {list.at(1).get<std::uint64_t>(), list.at(2).get<std::string>(),
            list.at(3).get<std::uint32_t>(), list.at(4).get<std::uint32_t>(),
            list.at(5).get<std::uint32_t>(), link_json::optionalAt(list, 6, false)};
}

QuotaGrant quotaGrantFromJson(const Json &list)
{
    return {list.at(1).get<std::uint64_t>(), list.at(2).get<std::string>(),
            list.at(3).get<std::uint32_t>(), Duration{list.at(4).get<std::int64_t>()},
            list.at(5).get<bool>()};
}

QuotaExchange quotaExchangeFromJson(const Json &list)
{
    QuotaExchange exchange;
    exchange.origin = ServerId(list.at(1).get<std::string>());
    exchange.originDataCentre = DataCentreId(list.at(2).get<std::string>());
    exchange.recipient = ServerId(list.at(3).get<std::string>());
    exchange.dataCentre = DataCentreId(list.at(4).get<std::string>());
    exchange.sequence = list.at(5).get<std::uint64_t>();
    exchange.gives = list.at(6).get<bool>();
    exchange.relayed = list.at(7).get<bool>();
    const Json &transfers = list.at(8);
    for (std::size_t i = 0; i + 1 < transfers.size(); i += 2)
        exchange.transfers.push_back(
            {transfers.at(i).get<std::string>(), transfers.at(i + 1).get<std::uint32_t>()});
    return exchange;
}

} // namespace cornelwell
