#ifndef MONSOONGRADE_LOAD_ENGINEWATCH_H
#define MONSOONGRADE_LOAD_ENGINEWATCH_H

#include <monsoongrade/endpoints/endpointclient.h>
#include <monsoongrade/load/loadreport.h>

#include <map>
#include <string>
#include <vector>

namespace monsoongrade::load {

// Adds up what engine stand-ins made since the first look. A restarted one counts from zero
// again and is told by its incarnation; what it made between the last look and its end is lost,
// so look about once a second. Blocks; not thread-safe.
class EngineWatch
{
public:
    EngineWatch(endpoints::EndpointClient &client, std::vector<std::string> engines);

    void look();
    EngineTotals totals() const;

private:
    struct Seen
    {
        std::int64_t firstTokens = 0;
        std::int64_t firstRuns = 0;
        std::int64_t tokens = 0;
        std::int64_t runs = 0;
    };

    endpoints::EndpointClient &client_;
    const std::vector<std::string> engines_;
    std::map<std::pair<std::string, std::int64_t>, Seen> seen_;
    bool hasLooked_ = false;
};

} // namespace monsoongrade::load

#endif // MONSOONGRADE_LOAD_ENGINEWATCH_H
