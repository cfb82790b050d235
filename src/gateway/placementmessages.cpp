#include <gateway/internal/gossipmessages.h>
#include <gateway/internal/packedmessage.h>
#include <gateway/internal/placementmessages.h>

#include <placement.capnp.h>

#include <algorithm>

namespace monsoongrade::gateway::internal {

namespace {

// Entries have about 14 bytes, so that the datagram stays below 1,400 bytes. An endpoint that is
// left out may be chosen, and the requesting host then asks again without it.
constexpr std::size_t MaxPausedInDatagram = 60;

std::uint32_t inMilliseconds(units::Duration duration)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return std::uint32_t(std::max<std::int64_t>(count, 0));
}

// Sets as many ids as the list has elements.
void setIds(capnp::List<capnp::Text>::Builder list, const std::vector<units::EndpointId> &ids)
{
    for (unsigned i = 0; i < list.size(); ++i)
        list.set(i, ids[i].value());
}

std::vector<units::EndpointId> idsOf(capnp::List<capnp::Text>::Reader list)
{
    std::vector<units::EndpointId> ids;
    ids.reserve(list.size());
    for (const auto id : list)
        ids.emplace_back(std::string(id));
    return ids;
}

// A share that is no number, or out of range, lends nothing.
double readShare(float share)
{
    return share > 0 && share <= 1 ? double(share) : 0;
}

void write(const QueryMessage &from, schema::PlacementMessage::Builder root)
{
    const routing::PlacementQuery &query = from.query;
    auto ask = root.initAsk();
    ask.setNumber(from.number);
    ask.setPool(query.pool.value());
    ask.setSharedPart(query.sharedPart);
    ask.setPromptTokens(std::uint32_t(query.promptTokens));
    ask.setOwnTokens(std::uint32_t(query.ownTokens));
    ask.setTier(query.tier.value());
    ask.setNeedsShortPauses(query.needsShortPauses);
    ask.setPoolServesShortPauses(query.poolServesShortPauses);
    ask.setFailureDomain(query.requesterDomain.value());
    ask.setTargetInMs(inMilliseconds(query.targetIn));
    ask.setGivenUpInMs(inMilliseconds(query.expiresIn));
    setIds(ask.initTried(unsigned(query.tried.size())), query.tried);
    const std::size_t paused = std::min(query.paused.size(), MaxPausedInDatagram);
    setIds(ask.initPaused(unsigned(paused)), query.paused);
    ask.setIsVersionBound(query.softwareVersion.has_value());
    if (query.softwareVersion)
        ask.setSoftwareVersion(query.softwareVersion->value());
    ask.setLentShare(float(from.lentShare));
    ask.setWorkspace(query.workspace.value());
    ask.setReturnKey(query.returnKey.value());
    ask.setIsPlain(!query.runsModel);
    if (from.limit)
        encodeLimit(ask.initLimit(), *from.limit);
}

QueryMessage read(schema::PlacementAsk::Reader ask)
{
    QueryMessage message;
    message.number = ask.getNumber();
    routing::PlacementQuery &query = message.query;
    query.pool = units::PoolName(ask.getPool());
    query.runsModel = !ask.getIsPlain();
    query.isCoordinated = true;
    query.sharedPart = ask.getSharedPart();
    query.promptTokens = ask.getPromptTokens();
    query.ownTokens = ask.getOwnTokens();
    query.tier = units::Tier(ask.getTier());
    query.needsShortPauses = ask.getNeedsShortPauses();
    query.poolServesShortPauses = ask.getPoolServesShortPauses();
    query.requesterDomain = units::FailureDomain(ask.getFailureDomain());
    query.targetIn = std::chrono::milliseconds(ask.getTargetInMs());
    query.expiresIn = std::chrono::milliseconds(ask.getGivenUpInMs());
    query.mayWait = true;
    query.tried = idsOf(ask.getTried());
    query.paused = idsOf(ask.getPaused());
    if (ask.getIsVersionBound())
        query.softwareVersion = units::SoftwareVersion(ask.getSoftwareVersion());
    message.lentShare = readShare(ask.getLentShare());
    query.workspace = units::WorkspaceName(ask.getWorkspace());
    query.returnKey = routing::ReturnKey(ask.getReturnKey());
    if (ask.hasLimit())
        message.limit = decodeLimit(ask.getLimit());
    return message;
}

void write(const AnswerMessage &from, schema::PlacementMessage::Builder root)
{
    auto answer = root.initAnswer();
    answer.setNumber(from.number);
    answer.setEndpoint(from.endpoint.value());
    answer.setTokensToRead(std::uint32_t(from.tokensToRead));
    answer.setWaiting(from.isWaiting);
    answer.setRefused(from.retryDelay.has_value());
    answer.setComeBackInMs(inMilliseconds(from.retryDelay.value_or(units::Duration::zero())));
    answer.setIsLimited(from.isLimited);
    answer.setIsWithinSlots(from.isWithinSlots);
    answer.setExpectedFirstEventMs(inMilliseconds(from.expectedFirstEvent));
    answer.setIsReturnScheduled(from.isReturnScheduled);
    answer.setCacheSource(from.cacheSource.value());
}

AnswerMessage read(schema::PlacementAnswer::Reader answer)
{
    AnswerMessage message;
    message.number = answer.getNumber();
    message.endpoint = units::EndpointId(answer.getEndpoint());
    message.tokensToRead = answer.getTokensToRead();
    message.isWaiting = answer.getWaiting();
    if (answer.getRefused())
        message.retryDelay = std::chrono::milliseconds(answer.getComeBackInMs());
    message.isLimited = answer.getIsLimited();
    message.isWithinSlots = answer.getIsWithinSlots();
    message.expectedFirstEvent = std::chrono::milliseconds(answer.getExpectedFirstEventMs());
    message.isReturnScheduled = answer.getIsReturnScheduled();
    message.cacheSource = units::EndpointId(answer.getCacheSource());
    return message;
}

void write(const EventMessage &from, schema::PlacementMessage::Builder root)
{
    auto news = root.initNews();
    news.setNumber(from.number);
    news.setNews(static_cast<schema::PlacementNews::News>(from.event));
}

EventMessage read(schema::PlacementNews::Reader news)
{
    return {news.getNumber(), static_cast<routing::PlacementEvent>(news.getNews())};
}

void write(const CachedPartsMessage &from, schema::PlacementMessage::Builder root)
{
    auto list = root.initCachedParts().initParts(unsigned(from.parts.size()));
    for (std::size_t i = 0; i < from.parts.size(); ++i) {
        list[unsigned(i)].setPart(from.parts[i].part);
        list[unsigned(i)].setEndpoint(from.parts[i].endpoint.value());
        list[unsigned(i)].setIncarnation(from.parts[i].incarnation.value());
    }
}

CachedPartsMessage read(schema::CachedParts::Reader parts)
{
    CachedPartsMessage message;
    for (const auto part : parts.getParts())
        message.parts.push_back({part.getPart(), units::EndpointId(part.getEndpoint()),
                                 routing::Incarnation(part.getIncarnation())});
    return message;
}

template <typename List>
std::vector<std::uint64_t> numbersOf(List list)
{
    std::vector<std::uint64_t> numbers;
    numbers.reserve(list.size());
    for (const std::uint64_t number : list)
        numbers.push_back(number);
    return numbers;
}

template <typename ListBuilder>
void setNumbers(ListBuilder list, const std::vector<std::uint64_t> &numbers)
{
    for (std::size_t i = 0; i < numbers.size(); ++i)
        list.set(unsigned(i), numbers[i]);
}

void write(const StillWaitingMessage &from, schema::PlacementMessage::Builder root)
{
    setNumbers(root.initStillWaiting().initNumbers(unsigned(from.numbers.size())), from.numbers);
}

void write(const NotWaitingMessage &from, schema::PlacementMessage::Builder root)
{
    setNumbers(root.initNotWaiting().initNumbers(unsigned(from.numbers.size())), from.numbers);
}

void write(const LoanMessage &from, schema::PlacementMessage::Builder root)
{
    auto loan = root.initLoan();
    loan.setLentShare(float(from.lentShare));
    loan.setIsOfCell(from.isOfCell);
}

void write(const EndpointSpeedsMessage &from, schema::PlacementMessage::Builder root)
{
    auto list = root.initEndpointSpeeds().initSpeeds(unsigned(from.speeds.size()));
    for (std::size_t i = 0; i < from.speeds.size(); ++i) {
        const routing::performance::LearnedSpeed &speed = from.speeds[i];
        list[unsigned(i)].setEndpoint(speed.endpoint.id.value());
        list[unsigned(i)].setIncarnation(speed.endpoint.incarnation.value());
        list[unsigned(i)].setRelativeSpeed(float(speed.relativeSpeed));
        list[unsigned(i)].setSamples(std::uint32_t(speed.samples));
        list[unsigned(i)].setAgeMs(inMilliseconds(speed.age));
    }
}

EndpointSpeedsMessage read(schema::EndpointSpeeds::Reader speeds)
{
    constexpr std::uint32_t MaxSamples = 1'000'000;
    EndpointSpeedsMessage message;
    for (const auto speed : speeds.getSpeeds()) {
        routing::performance::LearnedSpeed each;
        each.endpoint = {units::EndpointId(speed.getEndpoint()),
                         routing::Incarnation(speed.getIncarnation())};
        each.relativeSpeed = double(speed.getRelativeSpeed());
        each.samples = int(std::min(speed.getSamples(), MaxSamples));
        each.age = std::chrono::milliseconds(speed.getAgeMs());
        message.speeds.push_back(each);
    }
    return message;
}

} // namespace

AnswerMessage answerFor(std::uint64_t number, const routing::PlacementChoice &choice)
{
    AnswerMessage answer;
    answer.number = number;
    answer.isWaiting = choice.isWaiting;
    answer.retryDelay = choice.retryDelay;
    if (choice.endpoint != nullptr && !choice.isWaiting)
        answer.endpoint = choice.endpoint->registration.id;
    answer.tokensToRead = choice.tokensToRead;
    answer.isLimited = choice.isLimited;
    answer.isWithinSlots = choice.isWithinSlots;
    answer.expectedFirstEvent = choice.expectedFirstEvent;
    answer.isReturnScheduled = choice.isReturnScheduled;
    answer.cacheSource = choice.cacheSource;
    return answer;
}

std::string encode(const PlacementMessage &message)
{
    capnp::MallocMessageBuilder builder;
    const auto root = builder.initRoot<schema::PlacementMessage>();
    std::visit([&](const auto &each) { write(each, root); }, message);
    return serializePacked(builder);
}

PlacementMessage decodePlacementMessage(std::string_view datagram)
{
    PackedMessage message(datagram);
    const auto root = message.root<schema::PlacementMessage>();
    switch (root.which()) {
    case schema::PlacementMessage::ASK:
        return read(root.getAsk());
    case schema::PlacementMessage::ANSWER:
        return read(root.getAnswer());
    case schema::PlacementMessage::NEWS:
        return read(root.getNews());
    case schema::PlacementMessage::CACHED_PARTS:
        return read(root.getCachedParts());
    case schema::PlacementMessage::STILL_WAITING:
        return StillWaitingMessage{numbersOf(root.getStillWaiting().getNumbers())};
    case schema::PlacementMessage::NOT_WAITING:
        return NotWaitingMessage{numbersOf(root.getNotWaiting().getNumbers())};
    case schema::PlacementMessage::LOAN:
        return LoanMessage{readShare(root.getLoan().getLentShare()), root.getLoan().getIsOfCell()};
    case schema::PlacementMessage::ENDPOINT_SPEEDS:
        return read(root.getEndpointSpeeds());
    }
    KJ_FAIL_REQUIRE("unknown type of placement message, sent by a newer version");
}

} // namespace monsoongrade::gateway::internal
