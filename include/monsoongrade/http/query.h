#ifndef MONSOONGRADE_HTTP_QUERY_H
#define MONSOONGRADE_HTTP_QUERY_H

#include <cstdint>
#include <string>

namespace monsoongrade::http {

// The percent-decoded value of one key of a query string; empty where it is not there.
std::string queryValue(const std::string &query, const std::string &key);
// The same as a number; 0 where it is none.
std::uint64_t queryNumber(const std::string &query, const std::string &key);

} // namespace monsoongrade::http

#endif // MONSOONGRADE_HTTP_QUERY_H
