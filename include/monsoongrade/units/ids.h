#ifndef MONSOONGRADE_UNITS_IDS_H
#define MONSOONGRADE_UNITS_IDS_H

#include <monsoongrade/units/strongnumber.h>
#include <monsoongrade/units/strongstring.h>

#include <cstdint>

namespace monsoongrade::units {

using ClassName = StrongString<struct ClassNameTag>;
using WorkspaceName = StrongString<struct WorkspaceNameTag>;
using PoolName = StrongString<struct PoolNameTag>;
using ModelName = StrongString<struct ModelNameTag>;
using EndpointId = StrongString<struct EndpointIdTag>;
// Version of an endpoint's software, not of the weights that it has loaded.
using SoftwareVersion = StrongString<struct SoftwareVersionTag>;
using HostName = StrongString<struct HostNameTag>;
using FailureDomain = StrongString<struct FailureDomainTag>;
using ClusterName = StrongString<struct ClusterNameTag>;
using RequestId = StrongString<struct RequestIdTag>;
using IdempotencyKey = StrongString<struct IdempotencyKeyTag>;

// One life of one daemon: host name, role and incarnation. A restarted daemon has another id.
using DaemonId = StrongString<struct DaemonIdTag>;

// Numbers a grant within one life of one scheduler.
using GrantId = StrongNumber<struct GrantIdTag, std::uint64_t>;

// 0 is the highest tier; a larger number is a lower tier.
using Tier = StrongNumber<struct TierTag, std::uint32_t>;

using TokenCount = StrongNumber<struct TokenCountTag, std::int64_t>;

// Number of the configuration in force; only ever grows.
using Generation = StrongNumber<struct GenerationTag, std::uint64_t>;

// Hash of the start of a prompt; 0 means that no prefix is known.
using PrefixHash = StrongNumber<struct PrefixHashTag, std::uint64_t>;

} // namespace monsoongrade::units

#endif // MONSOONGRADE_UNITS_IDS_H
