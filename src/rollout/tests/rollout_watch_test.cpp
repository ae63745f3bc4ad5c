/** @file rollout_watch_test.cpp Lists of roll-outs that are not read to their end. */
#include "rollout/rollout_watch.h"

#include <catch2/catch.hpp>

using namespace cornelwell;

namespace {

constexpr TimePoint NOW{100000};

StoredRollout stored(const std::string &name, std::uint64_t revision)
{
    RolloutOrder order;
    order.name = name;
    order.revision = revision;
    StoredRollout object;
    object.name = name;
    object.revision = revision;
    object.order = order;
    return object;
}

StoredRollouts page(std::vector<StoredRollout> objects, bool more, const std::string &last)
{
    StoredRollouts read;
    read.storeRevision = 9;
    read.objects = std::move(objects);
    read.more = more;
    read.last = last;
    return read;
}

/** A watch that knows the orders a and b, and lists them again. */
struct Fixture
{
    Fixture()
    {
        list(page({stored("a", 1), stored("b", 2)}, false, "b"));
        REQUIRE(watch.orders().size() == 2);
        watch.requestList();
    }

    /** Makes the call that is due, a list, and handles its answer. @return where it began. */
    std::string list(const Result<StoredRollouts> &answer)
    {
        now = now + seconds(2);
        const auto action = watch.tick(true, false, now);
        REQUIRE(action);
        REQUIRE(std::holds_alternative<ListRollouts>(*action));
        watch.handleList(answer, now, now);
        return std::get<ListRollouts>(*action).after;
    }

    TimePoint now = NOW;
    RolloutWatch watch{WatchOptions(), 1};
};

} // namespace

// Guards against a half-read list that counts as whole: the orders on its other pages were taken
// for removed.
TEST_CASE("a list of roll-outs that cannot be continued removes no order", "[rollout]")
{
    Fixture fixture;
    SECTION("no name on the first page can be read")
    {
        fixture.list(page({StoredRollout()}, true, ""));
    }
    SECTION("the second page ends where it began")
    {
        fixture.list(page({stored("a", 1)}, true, "a"));
        CHECK(fixture.list(page({}, true, "a")) == "a");
    }
    SECTION("the second page is lost")
    {
        fixture.list(page({stored("a", 1)}, true, "a"));
        CHECK(fixture.list(fail(ResultCode::PlatformUnknown, "lost")) == "a");
    }
    CHECK(fixture.watch.orders().size() == 2);
    CHECK(fixture.watch.confirmedAt() < fixture.now);
    // The next list begins anew and is whole.
    CHECK(fixture.list(page({stored("b", 2)}, false, "b")).empty());
    CHECK(fixture.watch.orders().size() == 1);
    CHECK(fixture.watch.confirmedAt() == fixture.now);
}
