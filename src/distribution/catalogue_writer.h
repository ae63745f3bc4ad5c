/** @file catalogue_writer.h How an operator's change is accepted on the platform. */
#pragma once

#include "base/random.h"
#include "base/result.h"
#include "catalogue/configuration.h"
#include "catalogue/head_func.h"
#include "store/object_store.h"

#include <functional>

namespace cornelwell {

/** The catalogue as it stands on the platform. */
struct CatalogueState
{
    CatalogueHead head;             ///< The head.
    ObjectVersion version = 0;      ///< Version of the head object; 0 when there is none yet.
    ConfigurationPtr configuration; ///< The newest version.
};

/** An accepted change, or one that was tested without effect. */
struct AcceptedChange
{
    Revision revision = 0; ///< Version that it makes.
    unsigned tries = 0;    ///< Races with other operators, and lost answers, that it took.
};

/** @return the catalogue as it stands on the platform. */
Result<CatalogueState> readCatalogue(ObjectStore &store);

/** Accepts changes: total order by conditional update of the head. */
class CatalogueWriter
{
public:
    /**
     * @param store The platform.
     * @param pause Waits between tries; a test replaces it.
     * @param seed Of the jitter of the pauses.
     */
    CatalogueWriter(ObjectStore &store, std::function<void(Duration)> pause, std::uint64_t seed);

    /**
     * Accepts a change, or only tests it.
     * @param change The change; its id must be unique.
     * @param testOnly True to test without effect.
     * @return the version that it makes, or why it is not accepted.
     */
    Result<AcceptedChange> accept(const Change &change, bool testOnly);

private:
    Result<ObjectVersion> write(const CatalogueState &state, const PreparedChange &prepared);
    void removeObsolete(const PreparedChange &prepared);

    ObjectStore &m_store;
    std::function<void(Duration)> m_pause;
    Random m_random;
};

} // namespace cornelwell
