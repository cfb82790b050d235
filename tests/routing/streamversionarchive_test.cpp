#include <monsoongrade/routing/streamversionarchive.h>

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace monsoongrade::routing;
using std::chrono::seconds;

namespace {

const units::SoftwareVersion V1("v1");
const units::SoftwareVersion V2("v2");
constexpr units::TimePoint Start{seconds(100)};
constexpr auto Interval = StreamVersionArchive::WriteInterval;

StreamDigest stream(std::uint64_t number)
{
    return StreamDigest(number);
}

// The store's ring of objects, with conditional writes.
class StoredRing
{
public:
    // Makes one step of a host, with the reads that it asks for.
    void step(StreamVersionArchive &archive, std::size_t ring, units::TimePoint now)
    {
        StreamVersionArchive::Step step = archive.next(ring, now);
        if (step.mustRead) {
            archive.onRead(batches_);
            step = archive.next(ring, now);
        }
        if (!step.write)
            return;
        auto &[name, batch] = *step.write;
        const auto found = batches_.find(name);
        const Revision current = found == batches_.end() ? Revision() : found->second.revision;
        if (current != batch.revision) {
            archive.onWriteFailed(batch);
            return;
        }
        batch.revision = Revision(++writes_);
        batches_[name] = batch;
        archive.onWritten(name, batch.revision);
    }
    const AllStoredStreamBatches &batches() const { return batches_; }
    std::uint64_t writes() const { return writes_; }

private:
    AllStoredStreamBatches batches_;
    std::uint64_t writes_ = 0;
};

} // namespace

TEST_CASE("StreamVersionArchive.StreamsAreSavedInBatches")
{
    StoredRing store;
    StreamVersionArchive archive;
    for (std::uint64_t i = 0; i < 100; ++i)
        archive.add(stream(i), i % 2 == 0 ? V1 : V2, Start);
    store.step(archive, 0, Start);
    store.step(archive, 0, Start + Interval);
    CHECK(store.writes() == 1);
    CHECK(versionIn(store.batches(), stream(4)) == V1);
    CHECK(versionIn(store.batches(), stream(5)) == V2);
    CHECK_FALSE(versionIn(store.batches(), stream(100)));
}

TEST_CASE("StreamVersionArchive.StreamThatIsAddedTwiceIsSavedOnce")
{
    StoredRing store;
    StreamVersionArchive archive;
    archive.add(stream(1), V1, Start);
    archive.add(stream(1), V1, Start);
    store.step(archive, 0, Start);
    CHECK(store.batches().at("0-0").streams.at(V1).size() == 1);
}

// Guards against a write for each stream.
TEST_CASE("StreamVersionArchive.WritesAreLimited")
{
    StoredRing store;
    StreamVersionArchive archive;
    for (int i = 0; i < 100; ++i) {
        archive.add(stream(std::uint64_t(i)), V1, Start + i * Interval / 10);
        store.step(archive, 0, Start + i * Interval / 10);
    }
    CHECK(store.writes() == 10);
}

// Guards against memory and objects that grow with the number of streams.
TEST_CASE("StreamVersionArchive.MemoryAndObjectsAreBounded")
{
    StoredRing store;
    StreamVersionArchive archive;
    for (int round = 0; round < 200; ++round) {
        for (int i = 0; i < 2000; ++i)
            archive.add(stream(std::uint64_t(round) * 2000 + std::uint64_t(i)), V1,
                        Start + round * Interval);
        store.step(archive, 1, Start + round * Interval);
    }
    CHECK(store.batches().size() == StreamVersionArchive::ObjectsPerRing);
    for (const auto &[name, batch] : store.batches())
        CHECK(batch.streams.at(V1).size() == StreamVersionArchive::MaxStreamsPerObject);
}

// Guards against overwriting the newest batches when another host takes over the ring.
TEST_CASE("StreamVersionArchive.AnotherHostOverwritesTheOldestBatches")
{
    StoredRing store;
    StreamVersionArchive first;
    const std::uint64_t batches = StreamVersionArchive::ObjectsPerRing + 10;
    for (std::uint64_t i = 0; i < batches; ++i) {
        first.add(stream(i), V1, Start + int(i) * Interval);
        store.step(first, 0, Start + int(i) * Interval);
    }
    StreamVersionArchive second;
    for (std::uint64_t i = 0; i < 20; ++i) {
        second.add(stream(1000 + i), V2, Start + int(batches + i) * Interval);
        store.step(second, 0, Start + int(batches + i) * Interval);
    }
    for (std::uint64_t i = batches - StreamVersionArchive::ObjectsPerRing + 20; i < batches; ++i)
        CHECK(versionIn(store.batches(), stream(i)) == V1);
    for (std::uint64_t i = 0; i < 20; ++i)
        CHECK(versionIn(store.batches(), stream(1000 + i)) == V2);
}

// Guards against losing a batch because two hosts write to the same ring.
TEST_CASE("StreamVersionArchive.FailedWriteIsRepeated")
{
    StoredRing store;
    StreamVersionArchive first;
    StreamVersionArchive second;
    for (int i = 0; i < 10; ++i) {
        first.add(stream(std::uint64_t(i)), V1, Start);
        second.add(stream(std::uint64_t(100) + std::uint64_t(i)), V2, Start);
        store.step(first, 0, Start + i * Interval);
        store.step(second, 0, Start + i * Interval);
    }
    for (int i = 10; i < 30; ++i) {
        store.step(first, 0, Start + i * Interval);
        store.step(second, 0, Start + i * Interval);
    }
    for (int i = 0; i < 10; ++i) {
        CHECK(versionIn(store.batches(), stream(std::uint64_t(i))) == V1);
        CHECK(versionIn(store.batches(), stream(std::uint64_t(100 + i))) == V2);
    }
}

// Guards against resuming one of two streams with the same digest at the version of the other.
TEST_CASE("StreamVersionArchive.StreamInBatchesOfTwoVersionsIsNotFound")
{
    const AllStoredStreamBatches batches{{"0-0", {{{V1, {stream(1)}}}, Revision(1)}},
                                         {"0-1", {{{V2, {stream(1)}}}, Revision(2)}}};
    CHECK_FALSE(versionIn(batches, stream(1)));
    const units::RequestId request("a");
    CHECK(digestOf({units::WorkspaceName("w1"), request})
          != digestOf({units::WorkspaceName("w2"), request}));
}
