#include <monsoongrade/units/stablehash.h>

#include <doctest/doctest.h>

#include <string>

namespace monsoongrade::units {

namespace {

std::uint64_t hashOf(const std::string &text)
{
    StableHash hash;
    hash.add(text);
    return hash.value();
}

} // namespace

// Names in the store and the order of schedulers rest on these values; were they others in the
// next version, hosts of both would disagree.
TEST_CASE("StableHash.ValuesNeverChange")
{
    CHECK(hashOf("") == 0xcbf29ce484222325U);
    CHECK(hashOf("a") == 0xaf63dc4c8601ec8cU);
    CHECK(hashOf("foobar") == 0x85944171f73967e8U);
}

TEST_CASE("StableHash.ANumberBelow256IsOneByte")
{
    StableHash hash;
    hash.add(std::uint64_t('a'));
    CHECK(hash.value() == hashOf("a"));
}

} // namespace monsoongrade::units
