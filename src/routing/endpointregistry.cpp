#include <monsoongrade/routing/endpointregistry.h>

#include <algorithm>

namespace monsoongrade::routing {

EndpointRegistry::EndpointRegistry(OnLeaving onLeaving, HasAnnouncedLeaving hasAnnouncedLeaving)
    : onLeaving_(std::move(onLeaving))
    , hasAnnouncedLeaving_(std::move(hasAnnouncedLeaving))
{
}

void EndpointRegistry::replaceAll(const std::vector<DiscoveredEndpoint> &listed,
                                  units::TimePoint now, units::TimePoint keepMissingUntil)
{
    std::set<std::string> present;
    for (const DiscoveredEndpoint &endpoint : listed) {
        present.insert(endpoint.id.value());
        update(endpoint);
    }
    for (auto &[id, entry] : entries_) {
        if (present.count(id) == 0)
            markMissing(id, entry, now, keepMissingUntil);
    }
    removeExpired(now);
}

void EndpointRegistry::update(const DiscoveredEndpoint &endpoint)
{
    Entry &entry = entries_[endpoint.id.value()];
    const bool isSame = entry.status != nullptr
        && entry.status->registration.incarnation == endpoint.incarnation
        && entry.status->registration.address == endpoint.address
        && entry.status->registration.pool == endpoint.pool;
    if (!isSame) {
        // A restarted endpoint has none of the requests and cache of the previous instance, so
        // its load and health start from zero. Requests of the previous instance keep its status.
        const auto status = std::make_shared<EndpointStatus>();
        if (entry.status != nullptr) {
            markLeaving(entry);
            decrementSize(entry.status->registration.pool);
            status->rateLimiter = entry.status->rateLimiter;
            // An endpoint that fell over is met by all hosts when it returns.
            status->maxRejections = entry.status->maxRejections;
            status->maxRejectionsUntil = entry.status->maxRejectionsUntil;
        }
        entry.status = status;
        incrementSize(endpoint.pool);
    }
    missing_.erase(endpoint.id.value());
    entry.status->registration = endpoint;
    announced_.erase(endpoint.id.value());
    const bool hasAnnounced = hasAnnouncedLeaving(endpoint);
    if (hasAnnounced && !endpoint.draining)
        announced_.insert(endpoint.id.value());
    if (hasAnnounced || endpoint.draining) {
        markLeaving(entry);
        return;
    }
    entry.status->leaving = false;
    addAvailable(entry.status);
}

void EndpointRegistry::remove(const units::EndpointId &id, units::TimePoint now,
                              units::TimePoint keepMissingUntil)
{
    const auto found = entries_.find(id.value());
    if (found == entries_.end())
        return;
    markMissing(found->first, found->second, now, keepMissingUntil);
    removeExpired(now);
}

void EndpointRegistry::onLeavingAnnounced(const units::EndpointId &id)
{
    const auto found = entries_.find(id.value());
    if (found == entries_.end() || !hasAnnouncedLeaving(found->second.status->registration))
        return;
    if (!found->second.status->registration.draining)
        announced_.insert(id.value());
    markLeaving(found->second);
}

void EndpointRegistry::restoreUnannounced()
{
    for (auto id = announced_.begin(); id != announced_.end();) {
        const Status &status = entries_.at(*id).status;
        if (hasAnnouncedLeaving(status->registration)) {
            ++id;
            continue;
        }
        status->leaving = false;
        addAvailable(status);
        id = announced_.erase(id);
    }
}

void EndpointRegistry::removeExpired(units::TimePoint now)
{
    for (auto missing = missing_.begin(); missing != missing_.end();) {
        const auto entry = entries_.find(*missing);
        work_.add();
        if (now < entry->second.keepUntil) {
            ++missing;
            continue;
        }
        markLeaving(entry->second);
        decrementSize(entry->second.status->registration.pool);
        announced_.erase(*missing);
        entries_.erase(entry);
        missing = missing_.erase(missing);
    }
}

void EndpointRegistry::setDivision(FleetDivision division, std::uint32_t ownCell)
{
    if (division == division_ && ownCell == ownCell_)
        return;
    division_ = std::move(division);
    ownCell_ = ownCell;
    available_.clear();
    for (const auto &[id, entry] : entries_) {
        if (!entry.status->leaving)
            addAvailable(entry.status);
    }
}

const std::vector<EndpointRegistry::Status> &
EndpointRegistry::available(const units::PoolName &pool) const
{
    static const std::vector<Status> None;
    const auto found = available_.find(pool.value());
    return found == available_.end() ? None : found->second;
}

EndpointRegistry::Status EndpointRegistry::findAvailable(const units::EndpointId &id) const
{
    const auto found = entries_.find(id.value());
    const bool isAvailable = found != entries_.end() && !found->second.status->leaving
        && isInOwnCell(*found->second.status);
    return isAvailable ? found->second.status : nullptr;
}

std::vector<DiscoveredEndpoint> EndpointRegistry::listed(const units::PoolName &pool) const
{
    std::vector<DiscoveredEndpoint> found;
    for (const auto &[id, entry] : entries_) {
        if (entry.status->registration.pool == pool)
            found.push_back(entry.status->registration);
    }
    return found;
}

EndpointRegistry::SoftwareVersions EndpointRegistry::softwareVersions() const
{
    SoftwareVersions versions;
    for (const auto &[id, entry] : entries_) {
        const DiscoveredEndpoint &endpoint = entry.status->registration;
        versions[endpoint.pool].insert(endpoint.softwareVersion);
    }
    return versions;
}

EndpointRegistry::Status EndpointRegistry::find(const EndpointInstance &endpoint) const
{
    const auto found = entries_.find(endpoint.id.value());
    const bool isSame = found != entries_.end()
        && found->second.status->registration.incarnation == endpoint.incarnation;
    return isSame ? found->second.status : nullptr;
}

bool EndpointRegistry::hasAnnouncedLeaving(const DiscoveredEndpoint &endpoint) const
{
    return hasAnnouncedLeaving_ && hasAnnouncedLeaving_(instanceOf(endpoint));
}

void EndpointRegistry::markLeaving(Entry &entry)
{
    removeAvailable(entry.status);
    if (entry.status->leaving)
        return;
    entry.status->leaving = true;
    if (onLeaving_)
        onLeaving_(*entry.status);
}

void EndpointRegistry::markMissing(const std::string &id, Entry &entry, units::TimePoint now,
                                   units::TimePoint keepMissingUntil)
{
    const bool isNewlyMissing = missing_.insert(id).second;
    const units::TimePoint until = std::max(now, keepMissingUntil);
    entry.keepUntil = isNewlyMissing ? until : std::min(entry.keepUntil, until);
}

// Position of the endpoint, or where to insert it, in a list ordered by id.
std::vector<EndpointRegistry::Status>::iterator
EndpointRegistry::positionIn(std::vector<Status> &available, const units::EndpointId &id)
{
    return std::lower_bound(available.begin(), available.end(), id,
                            [this](const Status &each, const units::EndpointId &wanted) {
                                work_.add();
                                return each->registration.id < wanted;
                            });
}

bool EndpointRegistry::isInOwnCell(const EndpointStatus &status) const
{
    return division_.isUsedIn(ownCell_, status.registration.pool, status.registration.id);
}

void EndpointRegistry::incrementSize(const units::PoolName &pool)
{
    ++sizes_[pool.value()];
}

void EndpointRegistry::decrementSize(const units::PoolName &pool)
{
    const auto size = sizes_.find(pool.value());
    if (size != sizes_.end() && --size->second == 0)
        sizes_.erase(size);
}

void EndpointRegistry::addAvailable(const Status &status)
{
    if (!isInOwnCell(*status))
        return;
    std::vector<Status> &available = available_[status->registration.pool.value()];
    const auto position = positionIn(available, status->registration.id);
    if (position == available.end() || *position != status)
        available.insert(position, status);
}

void EndpointRegistry::removeAvailable(const Status &status)
{
    std::vector<Status> &available = available_[status->registration.pool.value()];
    const auto position = positionIn(available, status->registration.id);
    if (position != available.end() && *position == status)
        available.erase(position);
}

} // namespace monsoongrade::routing
