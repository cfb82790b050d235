#ifndef MONSOONGRADE_SOAK_ODDENTRIES_H
#define MONSOONGRADE_SOAK_ODDENTRIES_H

#include <cstddef>
#include <string>

namespace monsoongrade::soak {

// The text of an entry that names no endpoint which can be used, one of several kinds.
std::string oddEntry(std::size_t kind);

} // namespace monsoongrade::soak

#endif // MONSOONGRADE_SOAK_ODDENTRIES_H
