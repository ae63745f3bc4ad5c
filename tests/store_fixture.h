/** @file store_fixture.h A client of a store that follows a script. */
#pragma once

#include "node/store_client.h"
#include "run_loop.h"
#include "scripted_server.h"

#include <catch2/catch.hpp>

#include <optional>

namespace cornelwell {

/** A client of a store that follows a script. */
struct StoreFixture
{
    /** @return the response, or the error of the call. */
    Result<HttpResponse> call(HttpRequest request, Duration timeout = seconds(20))
    {
        std::optional<Result<HttpResponse>> result;
        client.call(std::move(request), timeout,
                    [&](const Result<HttpResponse> &response) { result = response; });
        runUntil(loop, [&] { return result.has_value(); });
        REQUIRE(result.has_value());
        return *result;
    }

    EventLoop loop;
    ScriptedServer server{loop};
    StoreClient client{loop, server.endpoint()};
};

} // namespace cornelwell
