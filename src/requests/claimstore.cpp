#include <monsoongrade/requests/claimstore.h>

namespace monsoongrade::requests {

namespace {

using units::ResultCode;

constexpr auto DownFor = std::chrono::seconds(1);
constexpr int MaxRounds = 2;
const char *const CallsCounter = "monsoongrade_claim_store_calls_total";

} // namespace

ClaimStore::ClaimStore(platform::ObjectStore &store, const units::Clock &clock,
                       observability::Metrics &metrics, const ClaimTimes &times)
    : store_(store)
    , clock_(clock)
    , metrics_(metrics)
    , times_(times)
    , epoch_(clock, times)
{
}

bool ClaimStore::isDown() const
{
    const std::lock_guard lock(mutex_);
    return clock_.now() < downUntil_;
}

ClaimOutcome ClaimStore::claim(const std::string &name, const Claim &mine)
{
    const UnderWay underWay(underWay_);
    const units::TimePoint begun = clock_.now();
    const std::string value = toText(marked(mine));
    for (int round = 0; round < MaxRounds; ++round) {
        if (write([&] { return store_.createIfAbsent(name, value); }) == WriteResult::Done)
            return taken(begun);
        if (const auto found = readBack(name, mine, begun))
            return *found;
    }
    return down();
}

ClaimOutcome ClaimStore::takeOver(const std::string &name, platform::ObjectVersion version,
                                  const Claim &mine)
{
    const UnderWay underWay(underWay_);
    const units::TimePoint begun = clock_.now();
    const std::string value = toText(marked(mine));
    if (write([&] { return store_.updateIfVersion(name, version, value); }) == WriteResult::Done)
        return taken(begun);
    const auto found = readBack(name, mine, begun);
    if (!found)
        return down();
    // The earlier claim, still there: the write was lost and may yet take effect.
    if (found->state == ClaimState::HeldByOther && found->version == version)
        return down();
    return *found;
}

ClaimStore::WriteResult
ClaimStore::write(const std::function<units::Result<platform::ObjectVersion>()> &call)
{
    metrics_.add(CallsCounter, observability::label("call", "write"));
    const auto outcome = units::capture(call);
    if (outcome.value)
        return WriteResult::Done;
    return outcome.error.code == ResultCode::ObjectAlreadyExists
            || outcome.error.code == ResultCode::VersionConflict
        ? WriteResult::Refused
        : WriteResult::Lost;
}

Claim ClaimStore::marked(const Claim &mine) const
{
    Claim written = mine;
    written.epoch = epoch_.mark();
    return written;
}

// Counted from before the first call: however long the store took, the claim is no older.
ClaimOutcome ClaimStore::taken(units::TimePoint begun) const
{
    return {ClaimState::Taken, begun + times_.sendWithin(), {}, {}};
}

std::optional<ClaimOutcome> ClaimStore::readBack(const std::string &name, const Claim &mine,
                                                 units::TimePoint begun)
{
    metrics_.add(CallsCounter, observability::label("call", "read"));
    const auto object = units::capture([&] { return store_.get(name); });
    if (!object.value && object.error.code == ResultCode::ObjectNotFound)
        return std::nullopt;
    if (!object.value)
        return down();
    const auto claim = units::capture([&] { return parseClaim(object.value->value); });
    if (!claim.value)
        return down();
    if (claim.value->attempt == mine.attempt)
        return taken(begun);
    return ClaimOutcome{ClaimState::HeldByOther, {}, *claim.value, object.value->version};
}

ClaimOutcome ClaimStore::down()
{
    const std::lock_guard lock(mutex_);
    downUntil_ = clock_.now() + DownFor;
    return {ClaimState::StoreDown, {}, {}, {}};
}

} // namespace monsoongrade::requests
