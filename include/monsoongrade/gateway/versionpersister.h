#ifndef MONSOONGRADE_GATEWAY_VERSIONPERSISTER_H
#define MONSOONGRADE_GATEWAY_VERSIONPERSISTER_H

#include <monsoongrade/gateway/gateway.h>
#include <monsoongrade/gateway/storedstreamversions.h>
#include <monsoongrade/routing/poolversionstore.h>
#include <monsoongrade/routing/poolversionwriter.h>
#include <monsoongrade/routing/streamversionarchive.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace monsoongrade::gateway {

// Keeps the software versions of pools in the store, and those of streams that begin while a pool
// has several. Reads them for streams that no host knows: what is read of a pool is newer than the
// client's request, however old this host's list is.
class VersionPersister : public StoredStreamVersions
{
public:
    VersionPersister(httpio::Timers &timers, Gateway &gateway, routing::PoolVersionStore &pools,
                     routing::StreamVersionStore &streams);

    void start();
    void find(const routing::StreamIdentity &stream, const units::PoolName &pool,
              Found found) override;
    std::string savingHost(const routing::StreamIdentity &stream) const override;
    void save(const routing::StreamIdentity &stream,
              const units::SoftwareVersion &version) override;

private:
    struct Lookup
    {
        routing::StreamDigest stream;
        units::PoolName pool;
        Found found;
        routing::StoredStreamVersion result;
    };

    void round();
    void writePools(const routing::AllStoredPoolVersions &writes);
    void saveBatch();
    std::optional<std::size_t> ownRank() const; // among the hosts that write
    std::optional<std::size_t> ownRing() const; // in which this host saves streams
    units::Duration longestStream() const; // of those that may be resumed
    std::set<units::PoolName> resumablePools() const;
    void readPools();
    void onPoolsRead(std::vector<Lookup> lookups,
                     const std::optional<routing::AllStoredPoolVersions> &stored);
    // Concludes the lookup if its stream is in the last batches that were read.
    bool concludeByBatches(Lookup &lookup) const;
    void readBatches();

    httpio::Timers &timers_;
    Gateway &gateway_;
    routing::PoolVersionStore &pools_;
    routing::StreamVersionStore &streams_;
    std::vector<std::string> writers_; // IPs
    units::TimePoint ranksHostsAt_;
    routing::PoolVersionWriter writer_;
    int openPoolCalls_ = 0; // of the writer
    units::TimePoint mayCallForPoolsAt_; // likewise
    routing::StreamVersionArchive archive_;
    bool isSavingBatch_ = false;
    units::TimePoint maySaveBatchesAt_;
    std::vector<Lookup> waitingForPools_; // for a read that has not begun
    bool isReadingPools_ = false;
    units::TimePoint mayReadPoolsAt_;
    std::vector<Lookup> waitingForBatches_;
    bool isReadingBatches_ = false;
    units::TimePoint mayReadBatchesAt_;
    routing::AllStoredStreamBatches batches_; // as last read
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_VERSIONPERSISTER_H
