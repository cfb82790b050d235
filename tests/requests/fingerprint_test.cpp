#include <requests/internal/fingerprint.h>

#include <doctest/doctest.h>

namespace monsoongrade::requests::internal {

// A claim in the store holds the fingerprint that the claiming router worked out; a router of
// another version must work out the same, or it takes the repeat for another request.
TEST_CASE("fingerprintOf.NeverChanges")
{
    ClassifiedRequest request;
    request.method = "POST";
    request.pathAndQuery = "/print?shelf=3";
    request.body = "tag 7";
    CHECK(fingerprintOf(request) == "dd6238a16558e8f0-5");
}

} // namespace monsoongrade::requests::internal
