#include <rpc/internal/cells.h>

namespace monsoongrade::rpc::internal {

namespace {

constexpr auto MetricsPeriod = std::chrono::seconds(1);

} // namespace

Cells::Cells(const units::Clock &clock, observability::Metrics &metrics,
             units::Duration settlingTime, units::Duration unknownPoolWait)
    : clock_(clock)
    , metrics_(metrics)
    , settlingTime_(settlingTime)
    , unknownPoolWait_(unknownPoolWait)
{
}

void Cells::apply(const configuration::ConfigurationHolder::Snapshot &configuration,
                  const membership::FleetHolder::Snapshot &fleet)
{
    if (!configuration)
        return;
    for (const auto &entry : configuration->pools) {
        auto &cell = cells_[entry.first];
        if (!cell)
            cell = std::make_unique<Cell>(entry.first, clock_, metrics_, settlingTime_);
    }
    // The fleet view comes each second; the configuration is large and seldom another one.
    const bool isNew = applied_ != configuration;
    applied_ = configuration;
    for (auto &[pool, cell] : cells_) {
        if (isNew)
            cell->configure(*configuration);
        cell->applyFleet(*configuration, *fleet);
    }
    answerAwaited();
}

Cell *Cells::find(const units::PoolName &pool)
{
    const auto found = cells_.find(pool);
    return found == cells_.end() ? nullptr : found->second.get();
}

kj::Promise<Cell *> Cells::findOrWait(const units::PoolName &pool)
{
    if (Cell *cell = find(pool))
        return cell;
    auto pair = kj::newPromiseAndFulfiller<Cell *>();
    awaited_.push_back({pool, clock_.now() + unknownPoolWait_, kj::mv(pair.fulfiller)});
    return kj::mv(pair.promise);
}

void Cells::tick()
{
    const units::TimePoint now = clock_.now();
    const bool write = now - metricsWritten_ >= MetricsPeriod;
    if (write) {
        metricsWritten_ = now;
        metrics_.set("monsoongrade_asks_awaiting_pool", {}, static_cast<double>(awaited_.size()));
    }
    for (auto &entry : cells_) {
        entry.second->tick();
        if (write)
            entry.second->writeMetrics();
    }
    answerAwaited();
}

void Cells::sessionEnded(const units::DaemonId &session)
{
    for (auto &entry : cells_)
        entry.second->sessionEnded(session);
}

bool Cells::isUsing(const units::DaemonId &session) const
{
    for (const auto &entry : cells_) {
        if (entry.second->isUsedBy(session))
            return true;
    }
    return false;
}

bool Cells::isContended(const units::DaemonId &session) const
{
    for (const auto &entry : cells_) {
        if (entry.second->waiting() > 0 && entry.second->isUsedBy(session))
            return true;
    }
    return false;
}

void Cells::startLeaving()
{
    leaving_ = true;
    for (auto &entry : cells_)
        entry.second->moveAll();
}

std::size_t Cells::waiting() const
{
    std::size_t sum = awaited_.size();
    for (const auto &entry : cells_)
        sum += entry.second->waiting();
    return sum;
}

void Cells::answerAwaited()
{
    const units::TimePoint now = clock_.now();
    std::vector<Awaited> still;
    for (Awaited &awaited : awaited_) {
        Cell *cell = find(awaited.pool);
        if (cell != nullptr || awaited.until <= now)
            awaited.fulfiller->fulfill(kj::mv(cell));
        else
            still.push_back(kj::mv(awaited));
    }
    awaited_ = kj::mv(still);
}

} // namespace monsoongrade::rpc::internal
