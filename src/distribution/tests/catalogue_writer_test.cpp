/** @file catalogue_writer_test.cpp Races of operators and lost answers. */
#include "distribution/catalogue_writer.h"
#include "fake_store.h"
#include "sample_entries.h"

#include <catch2/catch.hpp>

using namespace cornelwell;

namespace {

void noPause(Duration) {}

Result<AcceptedChange> accept(ObjectStore &store, const Change &change, bool testOnly = false)
{
    return CatalogueWriter(store, noPause, 1).accept(change, testOnly);
}

} // namespace

TEST_CASE("a change that is only tested writes nothing", "[distribution]")
{
    FakeStore store;
    CHECK(accept(store, sampleChange(ChangeKind::Propose, sampleEntry("a")), true).value().revision
          == 1);
    CHECK(store.peek(CATALOGUE_HEAD_OBJECT).version == 0);
}

TEST_CASE("of two changes of one entry exactly one wins, of two entries both do", "[distribution]")
{
    FakeStore store;
    CHECK(accept(store, sampleChange(ChangeKind::Propose, sampleEntry("a"))).value().revision == 1);
    CHECK(accept(store, sampleChange(ChangeKind::Propose, sampleEntry("b"))).value().revision == 2);
    CHECK(accept(store, sampleChange(ChangeKind::Amend, sampleEntry("a"), 1, "first"))
              .value()
              .revision
          == 3);
    const auto loser
        = accept(store, sampleChange(ChangeKind::Amend, sampleEntry("a"), 1, "second"));
    CHECK(loser.error().code == ResultCode::EntryConflict);
    CHECK(readCatalogue(store).value().head.revision == 3);
}

TEST_CASE("a lost answer is settled by reading back: the change is there once", "[distribution]")
{
    FakeStore store;
    store.faults = {StoreFault::None, StoreFault::Lost};
    const auto accepted = accept(store, sampleChange(ChangeKind::Propose, sampleEntry("a")));
    CHECK(accepted.value().revision == 1);
    CHECK(readCatalogue(store).value().head.revision == 1);
}

TEST_CASE("a write that vanished is tried again", "[distribution]")
{
    FakeStore store;
    store.faults = {StoreFault::None, StoreFault::Vanished, StoreFault::Throttled, StoreFault::None,
                    StoreFault::None};
    CHECK(accept(store, sampleChange(ChangeKind::Propose, sampleEntry("a"))).value().revision == 1);
}

TEST_CASE("a platform that is down leaves no doubt, one lost after a write does", "[distribution]")
{
    FakeStore store;
    store.faults = {StoreFault::NotExecuted};
    CHECK(accept(store, sampleChange(ChangeKind::Propose, sampleEntry("a"))).error().code
          == ResultCode::PlatformNotExecuted);
    store.faults = {StoreFault::None, StoreFault::Lost, StoreFault::NotExecuted};
    CHECK(accept(store, sampleChange(ChangeKind::Propose, sampleEntry("a"))).error().code
          == ResultCode::PlatformUnknown);
}

TEST_CASE("many changes compact the catalogue and remove the snapshots they replace",
          "[distribution]")
{
    FakeStore store;
    for (int i = 0; i < 200; i++)
        REQUIRE(
            accept(store, sampleChange(ChangeKind::Propose, sampleEntry("e" + std::to_string(i))))
                .has_value());
    const CatalogueState state = readCatalogue(store).value();
    CHECK(state.configuration->entries().size() == 200);
    CHECK(state.head.changes.size() <= 64);
    CHECK(state.head.snapshotRevision > 100);
}
