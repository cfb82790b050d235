#ifndef MONSOONGRADE_TESTS_ADAPTER_FAULTFIXTURE_H
#define MONSOONGRADE_TESTS_ADAPTER_FAULTFIXTURE_H

#include "gatewayfixture.h"

#include <doctest/doctest.h>

#include <string>

namespace monsoongrade::platform {

// A gateway whose workers are scripted; a test announces those that it needs.
struct FaultFixture : GatewayFixture
{
    FaultFixture() { store.put("config", "main", operatorConfiguration()); }

    void serve(std::size_t endpoints)
    {
        start();
        REQUIRE(awaitServing(endpoints));
    }
};

inline std::string idIn(const std::string &request)
{
    return standins::headerIn(request, "Attempt-Id");
}

} // namespace monsoongrade::platform

#endif // MONSOONGRADE_TESTS_ADAPTER_FAULTFIXTURE_H
