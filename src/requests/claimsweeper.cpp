#include <monsoongrade/requests/claimsweeper.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace monsoongrade::requests {

namespace {

using units::ResultCode;

const char *const CallsCounter = "monsoongrade_claim_sweep_calls_total";
constexpr auto GiveWay = std::chrono::milliseconds(100);
// A whole pass takes this share of the kept time.
constexpr int PassesInKeptTime = 3;

std::uint64_t numberIn(const std::string &text)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, number);
    return read.ec == std::errc() && read.ptr == end ? number : 0;
}

} // namespace

ClaimSweeper::ClaimSweeper(platform::ObjectStore &store, ClaimStore &claims,
                           const units::Clock &clock, observability::Metrics &metrics,
                           const ClaimTimes &times, const SweepSettings &settings,
                           std::uint64_t start)
    : store_(store)
    , claims_(claims)
    , clock_(clock)
    , metrics_(metrics)
    , times_(times)
    , settings_(settings)
    , next_(start)
    , pause_(settings.writePeriod)
{
}

units::Duration ClaimSweeper::step(const SweepShare &share)
{
    if (clock_.now() >= nextRead_)
        readEpoch();
    if (share.sweepers == 0) {
        candidates_.clear();
        return std::max<units::Duration>(nextRead_ - clock_.now(), GiveWay);
    }
    // Removals are never urgent; claims are.
    if (claims_.isBusy() || claims_.isDown() || clock_.now() < nextWrite_)
        return GiveWay;
    if (claims_.epoch().mayBeRaised() && !std::exchange(raiseTried_, true))
        raiseEpoch();
    else if (!candidates_.empty())
        sweepOne();
    else if (clock_.now() >= nextList_)
        list(share);
    return std::min<units::Duration>(pause_, times_.readPeriod());
}

template <typename Call>
auto ClaimSweeper::timed(const std::string &what, Call call)
{
    metrics_.add(CallsCounter, observability::label("call", what));
    const units::TimePoint begun = clock_.now();
    auto outcome = units::capture(call);
    const bool isFailed = !outcome.value && outcome.error.code == ResultCode::PlatformUnavailable;
    if (isFailed || clock_.now() - begun > settings_.slowAnswer)
        pause_ = std::min(pause_ * 2, settings_.longestPause);
    else
        pause_ = std::max<units::Duration>(pause_ * 3 / 4, settings_.writePeriod);
    nextWrite_ = clock_.now() + pause_;
    return outcome;
}

void ClaimSweeper::readEpoch()
{
    metrics_.add(CallsCounter, observability::label("call", "epoch"));
    const units::TimePoint askedAt = clock_.now();
    nextRead_ = askedAt + times_.readPeriod();
    const auto read = units::capture([this] { return store_.get(ClaimEpoch::ObjectName); });
    if (!read.value && read.error.code == ResultCode::ObjectNotFound)
        createEpoch();
    if (!read.value || numberIn(read.value->value) == 0)
        return;
    claims_.epoch().observe({numberIn(read.value->value), read.value->version}, askedAt);
    raiseTried_ = false;
    metrics_.set("monsoongrade_claim_epoch", {},
                 static_cast<double>(claims_.epoch().known()->number));
}

// Read again at the next step; a lost reply or another's creation needs nothing more.
void ClaimSweeper::createEpoch()
{
    units::capture([this] { return store_.createIfAbsent(ClaimEpoch::ObjectName, "1"); });
    nextRead_ = clock_.now();
}

// Tried once after each reading. Where the reply is lost or another was first, the next reading
// tells; without the limit a raise that never gets through would keep all removals waiting.
void ClaimSweeper::raiseEpoch()
{
    const auto known = claims_.epoch().known();
    const units::TimePoint askedAt = clock_.now();
    const auto raised = timed("raise", [&] {
        return store_.updateIfVersion(ClaimEpoch::ObjectName, known->version,
                                      std::to_string(known->number + 1));
    });
    if (raised.value)
        claims_.epoch().observe({known->number + 1, *raised.value}, askedAt);
}

void ClaimSweeper::list(const SweepShare &share)
{
    const std::size_t parts = std::size_t(1) << (4 * settings_.digits);
    const std::size_t part = (next_ * share.sweepers + share.rank) % parts;
    const auto listed
        = timed("list", [&] { return store_.list(claimPrefix(part, settings_.digits)); });
    if (!listed.value)
        return;
    ++next_;
    nextList_ = clock_.now() + listPeriod(share);
    collect(*listed.value);
}

void ClaimSweeper::collect(const std::vector<platform::StoredObject> &objects)
{
    for (const platform::StoredObject &object : objects) {
        const auto claim = units::capture([&] { return parseClaim(object.value); });
        if (claim.value
            && (claim.value->epoch == 0 || claims_.epoch().mayRemove(claim.value->epoch)))
            candidates_.push_back({object.name, object.version, *claim.value});
    }
}

// Tried once; what failed or was lost is found again by the next pass. A claim whose taker did not
// know the epoch is marked with this one, and its time begins anew.
void ClaimSweeper::sweepOne()
{
    const Candidate candidate = std::move(candidates_.front());
    candidates_.pop_front();
    if (candidate.claim.epoch == 0) {
        Claim marked = candidate.claim;
        marked.epoch = claims_.epoch().mark();
        if (marked.epoch != 0)
            timed("mark", [&] {
                return store_.updateIfVersion(candidate.name, candidate.version, toText(marked));
            });
        return;
    }
    const auto removed = timed("remove", [&]() -> units::Result<bool> {
        BOOST_LEAF_CHECK(store_.removeIfVersion(candidate.name, candidate.version));
        return true;
    });
    if (removed.value)
        metrics_.add("monsoongrade_claims_removed_total", {});
}

units::Duration ClaimSweeper::listPeriod(const SweepShare &share) const
{
    const std::size_t parts = std::size_t(1) << (4 * settings_.digits);
    const auto mine = static_cast<std::int64_t>(std::max<std::size_t>(parts / share.sweepers, 1));
    return times_.kept / PassesInKeptTime / mine;
}

} // namespace monsoongrade::requests
