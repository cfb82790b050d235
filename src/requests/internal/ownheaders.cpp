#include <requests/internal/ownheaders.h>

namespace monsoongrade::requests::internal {

bool isOwnHeader(const std::string &name)
{
    static const std::string OwnPrefix = "monsoongrade-";
    return name == "priority" || name == "resume-offset"
        || name.compare(0, OwnPrefix.size(), OwnPrefix) == 0;
}

} // namespace monsoongrade::requests::internal
