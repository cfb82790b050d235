#include <monsoongrade/load/barplot.h>

#include <doctest/doctest.h>

namespace monsoongrade::load {

TEST_CASE("plotBarsSvg.DrawsABarForEachSeriesAndKeepsWithinTheChart")
{
    const std::string svg
        = plotBarsSvg({{"high <tier>", {{"burst", {100, 50}}, {"late", {0, 250}}}}}, {"a", "b"}, 1);
    std::size_t bars = 0;
    for (std::size_t at = svg.find("<rect"); at != std::string::npos;
         at = svg.find("<rect", at + 1))
        ++bars;
    CHECK(bars == 1 + 4);
    CHECK(svg.find("high &lt;tier>") != std::string::npos);
    CHECK(svg.find("height=\"60\"") != std::string::npos);
    CHECK(svg.find("height=\"300\"") == std::string::npos);
}

} // namespace monsoongrade::load
