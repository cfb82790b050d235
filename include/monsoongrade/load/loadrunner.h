#ifndef MONSOONGRADE_LOAD_LOADRUNNER_H
#define MONSOONGRADE_LOAD_LOADRUNNER_H

#include <monsoongrade/endpoints/endpointclient.h>
#include <monsoongrade/load/loadresult.h>
#include <monsoongrade/load/loadscript.h>

#include <functional>
#include <vector>

namespace monsoongrade::load {

// Runs a load script against a running system and returns what each caller saw, in no order.
// Blocks until every request has ended or was given up. progress is called about once a second
// with a line of text.
std::vector<LoadResult> runLoad(const LoadScript &script, endpoints::EndpointClient &client,
                                const std::function<void(const std::string &)> &progress);

} // namespace monsoongrade::load

#endif // MONSOONGRADE_LOAD_LOADRUNNER_H
