#include <monsoongrade/observability/linesink.h>

#include <doctest/doctest.h>

#include <unistd.h>

#include <array>
#include <chrono>
#include <string>

using monsoongrade::observability::LineSink;

namespace {

struct Pipe
{
    Pipe() { REQUIRE(pipe(ends.data()) == 0); }
    ~Pipe()
    {
        close(ends[0]);
        close(ends[1]);
    }
    std::string readSome() const
    {
        std::string text(256 * 1024, '\0');
        text.resize(std::size_t(read(ends[0], text.data(), text.size())));
        return text;
    }

    std::array<int, 2> ends{};
};

} // namespace

TEST_CASE("LineSink.StoppedReaderCostsLinesAndNoTime")
{
    // The process that reads the log stops reading. The pipe fills up, and a blocking write would
    // hold up every request of the gateway until somebody reads again.
    const Pipe pipe;
    LineSink sink(pipe.ends[1]);
    const auto before = std::chrono::steady_clock::now();
    for (int i = 0; i < 5000; ++i)
        sink.write("event=example number=" + std::to_string(i) + std::string(80, 'x'));
    CHECK(std::chrono::steady_clock::now() - before < std::chrono::seconds(2));
    const auto dropped = sink.dropped();
    CHECK(dropped > 0);

    CHECK(pipe.readSome().find("number=0x") != std::string::npos);
    sink.write("event=after");
    const std::string after = pipe.readSome();
    CHECK(after.find("event=log-lines-dropped lines=" + std::to_string(dropped) + "\n")
          != std::string::npos);
    CHECK(after.find("event=after\n") != std::string::npos);
    CHECK(sink.dropped() == dropped);
}

TEST_CASE("LineSink.LongLineIsCut")
{
    const Pipe pipe;
    LineSink sink(pipe.ends[1]);
    sink.write(std::string(10000, 'x'));
    const std::string text = pipe.readSome();
    CHECK(text.size() == 4096);
    CHECK(text.back() == '\n');
}
