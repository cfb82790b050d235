#include <monsoongrade/scaling/preemptiblespread.h>

#include <doctest/doctest.h>

namespace monsoongrade::scaling {

namespace {

const units::FailureDomain A("a");
const units::FailureDomain B("b");
const units::FailureDomain C("c");

// Three domains with 30 ordinary endpoints each and different prices.
SizingInput threeDomains()
{
    SizingInput input;
    input.scaling.minPerDomain = 1;
    input.scaling.maxPerDomain = 60;
    input.scaling.bootTime = std::chrono::seconds(4);
    input.scaling.preemptiblePrice = 0.2;
    input.scaling.prices = {{A, 0.8}, {B, 1.2}, {C, 1.0}};
    for (const auto &domain : {A, B, C})
        input.endpointCounts.domains[domain].ordinary.ready = 30;
    input.needed = 90;
    return input;
}

// Updates the endpoints as if the platform had fulfilled the orders.
void fulfil(SizingInput &input, const PoolSize &size)
{
    for (const auto &[domain, wanted] : size) {
        input.endpointCounts.domains[domain].ordinary.ready = wanted.ordinary;
        input.endpointCounts.domains[domain].preemptible.ready
            = input.preemptibleUnavailable.count(domain) != 0 ? 0 : wanted.preemptible;
    }
}

int ordinaryOf(const PoolSize &size)
{
    int sum = 0;
    for (const auto &[domain, wanted] : size)
        sum += wanted.ordinary;
    return sum;
}

int preemptibleOf(const PoolSize &size)
{
    int sum = 0;
    for (const auto &[domain, wanted] : size)
        sum += wanted.preemptible;
    return sum;
}

PoolSize settled(SizingInput &input, const PreemptibleSpread &policy)
{
    for (int round = 0; round < 5; ++round)
        fulfil(input, policy.decide(input));
    return policy.decide(input);
}

} // namespace

TEST_SUITE_BEGIN("PreemptibleSpread");

TEST_CASE("PreemptibleSpread.RemovesOrdinaryEndpointsOnlyAfterTheirReplacement")
{
    SizingInput input = threeDomains();
    const PreemptibleSpread policy({});
    const PoolSize first = policy.decide(input);
    CHECK(ordinaryOf(first) == 90);
    CHECK(preemptibleOf(first) == 90);
    const PoolSize last = settled(input, policy);
    CHECK(ordinaryOf(last) == 3);
}

TEST_CASE("PreemptibleSpread.KeepsEnoughEndpointsAfterTheLossOfAnyDomain")
{
    PreemptibleSpread::Settings settings;
    settings.capacityShareAfterLoss = 1;
    SizingInput input = threeDomains();
    const PoolSize size = settled(input, PreemptibleSpread(settings));
    for (const auto &[lost, unused] : size) {
        int left = 0;
        for (const auto &[domain, wanted] : size)
            left += wanted.ordinary + (domain == lost ? 0 : wanted.preemptible);
        CHECK(left >= input.needed);
    }
}

// Guards against a pool that is too small while one domain has no preemptible endpoints.
TEST_CASE("PreemptibleSpread.UsesTheOtherDomainsWhenOneHasNoPreemptibleCapacity")
{
    SizingInput input = threeDomains();
    const PreemptibleSpread policy({});
    settled(input, policy);
    input.preemptibleUnavailable = {B};
    input.endpointCounts.domains[B].preemptible.ready = 0;
    const PoolSize size = policy.decide(input);
    CHECK(size.at(B).preemptible == 0);
    CHECK(size.at(A).preemptible + size.at(C).preemptible >= input.needed);
}

// Guards against a pool that is not restored when no preemptible capacity is available.
TEST_CASE("PreemptibleSpread.UsesOrdinaryEndpointsWhenNoDomainHasPreemptibleCapacity")
{
    SizingInput input = threeDomains();
    const PreemptibleSpread policy({});
    settled(input, policy);
    input.preemptibleUnavailable = {A, B, C};
    for (auto &[domain, counts] : input.endpointCounts.domains)
        counts.preemptible.ready = 0;
    const PoolSize size = policy.decide(input);
    CHECK(preemptibleOf(size) == 0);
    CHECK(ordinaryOf(size) == input.needed);
    // The cheapest domain is filled first.
    CHECK(size.at(A).ordinary == 60);
    CHECK(size.at(B).ordinary == 1);
}

TEST_CASE("PreemptibleSpread.KeepsThePoolUnchangedIfPreemptibleEndpointsCostMore")
{
    SizingInput input = threeDomains();
    input.scaling.preemptiblePrice = 0.9;
    const PoolSize size = PreemptibleSpread({}).decide(input);
    CHECK(preemptibleOf(size) == 0);
    CHECK(ordinaryOf(size) == 90);
}

TEST_CASE("PreemptibleSpread.KeepsASingleDomainUnchanged")
{
    SizingInput input = threeDomains();
    input.scaling.prices = {{A, 0.8}};
    input.endpointCounts.domains.erase(B);
    input.endpointCounts.domains.erase(C);
    input.needed = 30;
    const PoolSize size = PreemptibleSpread({}).decide(input);
    CHECK(size.at(A) == DomainSize{30, 0});
}

TEST_CASE("PreemptibleSpread.StaysWithinTheLimitsOfADomain")
{
    SizingInput input = threeDomains();
    input.needed = 500;
    const PreemptibleSpread policy({});
    const PoolSize size = settled(input, policy);
    for (const auto &[domain, wanted] : size) {
        CHECK(wanted.ordinary + wanted.preemptible <= input.scaling.maxPerDomain);
        CHECK(wanted.ordinary >= input.scaling.minPerDomain);
    }
}

TEST_SUITE_END();

} // namespace monsoongrade::scaling
