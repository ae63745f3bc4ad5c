/** @file distribution_test.cpp When a version is held and when it is put into force. */
#include "catalogue/head_func.h"
#include "distribution/catalogue_writer.h"
#include "distribution/distribution.h"
#include "fake_store.h"
#include "sample_entries.h"

#include <catch2/catch.hpp>

using namespace cornelwell;

namespace {

constexpr TimePoint START{1000};

using Answer = Result<std::optional<StoredObject>>;

/** Heads of a catalogue with one to @p count entries. */
std::vector<StoredObject> headsOf(int count)
{
    FakeStore store;
    std::vector<StoredObject> heads;
    for (int i = 0; i < count; i++) {
        const Change change
            = sampleChange(ChangeKind::Propose, sampleEntry("e" + std::to_string(i)));
        CatalogueWriter(
            store, [](Duration) {}, 1)
            .accept(change, false)
            .value();
        heads.push_back(store.peek(CATALOGUE_HEAD_OBJECT));
    }
    return heads;
}

Answer answerOf(const StoredObject &head)
{
    return Answer(std::optional<StoredObject>(head));
}

/** @return version that the actions put into force; 0 for none. */
Revision appliedIn(const DistributionActions &actions)
{
    Revision revision = 0;
    for (const DistributionAction &action : actions) {
        if (const auto *apply = std::get_if<ApplyVersion>(&action))
            revision = apply->configuration->revision();
    }
    return revision;
}

} // namespace

TEST_CASE("a new daemon without peers does not run a stale first answer", "[distribution]")
{
    const auto heads = headsOf(2);
    Distribution distribution(DistributionOptions(), 1);
    distribution.setWatching(true, START);
    distribution.tick(START);
    CHECK(appliedIn(distribution.watchAnswered(answerOf(heads[0]), START)) == 0);
    CHECK(appliedIn(distribution.watchAnswered(answerOf(heads[1]), START + milliseconds(5))) == 0);
    CHECK(appliedIn(distribution.tick(START + milliseconds(100))) == 0);
    CHECK(appliedIn(distribution.tick(START + milliseconds(305))) == 2);
}

TEST_CASE("a version from the platform waits until a peer holds it too", "[distribution]")
{
    const auto heads = headsOf(1);
    Distribution distribution(DistributionOptions(), 1);
    distribution.linkOpened(7);
    distribution.setWatching(true, START);
    distribution.tick(START);
    CHECK(appliedIn(distribution.watchAnswered(answerOf(heads[0]), START)) == 0);
    CHECK(distribution.heldRevision() == 1);
    CHECK(appliedIn(distribution.tick(START + seconds(10))) == 0);
    CHECK(appliedIn(distribution.receive(7, ChangesMessage{1, {}}, START + seconds(11))) == 1);
}

TEST_CASE("a version from a peer is put into force at once and acknowledged", "[distribution]")
{
    Distribution distribution(DistributionOptions(), 1);
    distribution.linkOpened(7);
    Change change = sampleChange(ChangeKind::Propose, sampleEntry("a"));
    change.revision = 1;
    const auto actions = distribution.receive(7, ChangesMessage{1, {change}}, START);
    CHECK(appliedIn(actions) == 1);
    CHECK(appliedIn(distribution.receive(7, ChangesMessage{1, {change}}, START)) == 0);
}

TEST_CASE("a stale head of the platform is left alone", "[distribution]")
{
    const auto heads = headsOf(3);
    Distribution distribution(DistributionOptions(), 1);
    distribution.setWatching(true, START);
    distribution.tick(START);
    distribution.watchAnswered(answerOf(heads[2]), START);
    CHECK(appliedIn(distribution.tick(START + seconds(1))) == 3);
    distribution.watchAnswered(answerOf(heads[0]), START + seconds(2));
    distribution.tick(START + seconds(3));
    CHECK(distribution.current()->revision() == 3);
}

TEST_CASE("a snapshot read from the platform that a peer has overtaken changes nothing",
          "[distribution]")
{
    Distribution distribution(DistributionOptions(), 1);
    distribution.linkOpened(7);
    std::vector<std::string> texts;
    for (const SnapshotChunk &chunk : encodeSnapshot(*Configuration::build(3, {}).value(), "p"))
        texts.push_back(chunk.text);
    CHECK(appliedIn(distribution.receive(7, SnapshotMessage{5, {}, {}}, START)) == 5);
    CHECK(appliedIn(distribution.chunksRead(3, texts, START + seconds(1))) == 0);
    CHECK(distribution.heldRevision() == 5);
    CHECK(distribution.current()->revision() == 5);
}

TEST_CASE("an older snapshot of a peer changes nothing", "[distribution]")
{
    Distribution distribution(DistributionOptions(), 1);
    distribution.linkOpened(7);
    CHECK(appliedIn(distribution.receive(7, SnapshotMessage{5, {}, {}}, START)) == 5);
    CHECK(appliedIn(distribution.receive(7, SnapshotMessage{4, {}, {}}, START)) == 0);
    CHECK(appliedIn(distribution.receive(7, SnapshotMessage{5, {}, {}}, START)) == 0);
    CHECK(distribution.current()->revision() == 5);
}
