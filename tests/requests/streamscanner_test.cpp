#include <monsoongrade/requests/streamscanner.h>

#include <doctest/doctest.h>

namespace monsoongrade::requests {

TEST_CASE("StreamScanner.CountsEventsHoweverTheBytesAreCut")
{
    const std::string stream = "data: {\"a\":1}\n\ndata: {\"a\":2}\n\ndata: [DONE]\n\n";
    for (std::size_t piece = 1; piece < stream.size(); ++piece) {
        StreamScanner scanner;
        for (std::size_t at = 0; at < stream.size(); at += piece)
            scanner.scan(std::string_view(stream).substr(at, piece));
        CHECK(scanner.events() == 2);
        CHECK(scanner.isClosed());
    }
}

TEST_CASE("StreamScanner.StreamWithoutMarkerIsNotClosed")
{
    StreamScanner scanner;
    scanner.scan("data: {\"a\":1}\n\n");
    CHECK_FALSE(scanner.isClosed());
}

} // namespace monsoongrade::requests
