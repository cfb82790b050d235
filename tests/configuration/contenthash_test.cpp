#include <monsoongrade/configuration/manifest.h>

#include <doctest/doctest.h>

namespace monsoongrade::configuration {

// Texts in the store are found by these names; another version must find them too.
TEST_CASE("contentHash.NamesNeverChange")
{
    CHECK(contentHash("") == "9e3779b97f4a7c15cbf29ce484222325");
    CHECK(contentHash("classes: []\n") == "a752dee263082079e3edf5e39915fbfd");
}

} // namespace monsoongrade::configuration
