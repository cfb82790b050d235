#ifndef MONSOONGRADE_TESTS_MALFORMEDHEADERLINES_H
#define MONSOONGRADE_TESTS_MALFORMEDHEADERLINES_H

#include <string>
#include <vector>

namespace monsoongrade::tests {

// Lines, without their end, that are no header wherever they stand in a head, as their names are no
// tokens (RFC 9110 section 5.6.2).
inline const std::vector<std::string> &malformedHeaderLines()
{
    using namespace std::string_literals;
    static const std::vector<std::string> Lines{"X Y: v",
                                                "X-Y : v",
                                                "X\tY: v",
                                                "X-Y\t: v",
                                                "X\x01Y: v",
                                                "X\x0bY: v",
                                                "X\x1fY: v",
                                                "X\x7fY: v",
                                                "X\0Y: v"s,
                                                "X\xc3\xa4: v",
                                                "X(Y): v",
                                                ": v",
                                                "X-Y",
                                                "X-Y v",
                                                "Attempt-Id : id1",
                                                "Content-Length : 3",
                                                "Content -Length: 900",
                                                "Transfer-Encoding : chunked"};
    return Lines;
}

// Lines that are no header as the first line of a head or of trailers: those above, and lines that
// continue a header.
inline const std::vector<std::string> &malformedFirstLines()
{
    static const std::vector<std::string> Lines = [] {
        std::vector<std::string> lines = malformedHeaderLines();
        lines.insert(lines.end(), {" X-Y: v", "\tX-Y: v", " X-Y", " "});
        return lines;
    }();
    return Lines;
}

} // namespace monsoongrade::tests

#endif // MONSOONGRADE_TESTS_MALFORMEDHEADERLINES_H
