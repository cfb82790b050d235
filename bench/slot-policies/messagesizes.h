#ifndef MONSOONGRADE_BENCH_MESSAGESIZES_H
#define MONSOONGRADE_BENCH_MESSAGESIZES_H

#include <cstdint>

namespace monsoongrade::bench {

// Bytes of the messages, worked out from the Cap'n Proto schema and not measured: words of
// 8 bytes for the struct's data and pointers, its texts, and about 100 for the call or return
// around it. Without TCP and IP headers.
constexpr std::uint64_t AskBytes = 260;
constexpr std::uint64_t DecisionBytes = 180;
constexpr std::uint64_t ReleaseBytes = 200;
constexpr std::uint64_t ReportBytes = 100;

} // namespace monsoongrade::bench

#endif // MONSOONGRADE_BENCH_MESSAGESIZES_H
