/** @file http_object_store.h The object API over HTTP. */
#pragma once

#include "base/clock.h"
#include "http/http_client.h"
#include "store/object_store.h"

#include <atomic>
#include <memory>
#include <vector>

namespace cornelwell {

/** How the API is reached. */
struct HttpObjectStoreOptions
{
    std::vector<Endpoint> addresses;   ///< Tried in turn while nothing was sent.
    Duration timeout;                  ///< Longest wait for an answer, beside the wait of a watch.
    int cancelSocket = -1;             ///< Socket whose closing ends all calls; -1 for none.
    const NetworkCuts *cuts = nullptr; ///< Addresses that an experiment cuts off.
};

/** Calls the object API; each call is sent at most once. Safe for threads. */
class HttpObjectStore final : public ObjectStore
{
public:
    HttpObjectStore(HttpObjectStoreOptions options, const Clock &clock);

    /** @return bytes exchanged with the platform so far. */
    HttpTraffic traffic() const { return m_client.traffic(); }

    Result<StoredObject> read(const std::string &name) override;
    Result<ObjectVersion> create(const std::string &name, const std::string &text) override;
    Result<ObjectVersion> update(const std::string &name, const std::string &text,
                                 ObjectVersion version) override;
    Result<void> remove(const std::string &name, ObjectVersion version) override;
    Result<std::optional<StoredObject>> watch(const std::string &name, ObjectVersion version,
                                              Duration wait) override;

private:
    Result<HttpResponse> call(const HttpRequest &request, Duration wait);
    Result<ObjectVersion> write(HttpRequest request);

    const HttpObjectStoreOptions m_options;
    const Clock &m_clock;
    HttpClient m_client;
    std::atomic<std::size_t> m_current{0};
};

} // namespace cornelwell
