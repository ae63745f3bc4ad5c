/** @file contacts_func.cpp Contacts as versioned JSON. */
#include "control/contacts_func.h"

#include "base/endpoint_func.h"
#include "base/json_func.h"

#include <nlohmann/json.hpp>

namespace cornelwell {

namespace {

constexpr int CONTACTS_FORMAT = 1;         ///< Format of the object.
constexpr std::size_t CONTACTS_MAX = 4096; ///< Addresses read from the object.

} // namespace

Result<ContactMap> decodeContacts(const std::string &text)
{
    BOOST_OUTCOME_TRY(object, parseJson(text, JsonOptions()));
    ContactMap contacts;
    std::size_t count = 0;
    try {
        if (object.at("format").get<int>() != CONTACTS_FORMAT)
            return fail(ResultCode::CatalogueFormat, "contacts of another format");
        for (const auto &item : object.at("data_centres").items()) {
            for (const auto &address : item.value()) {
                BOOST_OUTCOME_TRY(endpoint, parseEndpoint(address.template get<std::string>()));
                if (++count > CONTACTS_MAX)
                    return fail(ResultCode::CatalogueFormat, "too many contacts");
                contacts[DataCentreId(item.key())].push_back(endpoint);
            }
        }
    } catch (const nlohmann::json::exception &error) {
        return fail(ResultCode::CatalogueFormat, error.what());
    }
    return contacts;
}

std::string encodeContacts(const ContactMap &contacts)
{
    nlohmann::json dataCentres = nlohmann::json::object();
    for (const auto &item : contacts) {
        nlohmann::json list = nlohmann::json::array();
        for (const Endpoint &endpoint : item.second)
            list.push_back(formatEndpoint(endpoint));
        dataCentres[item.first.text()] = std::move(list);
    }
    return nlohmann::json{{"format", CONTACTS_FORMAT}, {"data_centres", std::move(dataCentres)}}
        .dump();
}

} // namespace cornelwell
