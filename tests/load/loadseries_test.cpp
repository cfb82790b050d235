#include <monsoongrade/load/loadplot.h>
#include <monsoongrade/load/loadseries.h>

#include <doctest/doctest.h>

using namespace monsoongrade;
using namespace std::chrono_literals;
using load::LoadOutcome;
using load::LoadResult;

namespace {

LoadResult result(units::Duration sentAt, LoadOutcome outcome, units::Duration firstToken)
{
    LoadResult one;
    one.className = "a";
    one.sentAt = sentAt;
    one.outcome = outcome;
    one.firstToken = firstToken;
    return one;
}

load::LoadScript script()
{
    load::LoadScript one;
    one.classes.emplace_back();
    one.classes.back().name = "a";
    one.classes.back().firstTokenTarget = 1s;
    return one;
}

} // namespace

TEST_CASE("makeSeries.CountsBySecondOfSending")
{
    const auto series = load::makeSeries(script(),
                                         {result(100ms, LoadOutcome::Answered, 500ms),
                                          result(900ms, LoadOutcome::Answered, 2s),
                                          result(2s, LoadOutcome::Refused, 0s)});
    REQUIRE(series.size() == 1);
    REQUIRE(series[0].points.size() == 2);
    CHECK(series[0].points[0].sent == 2);
    CHECK(series[0].points[0].answered == 2);
    CHECK(series[0].points[0].attained == 1);
    CHECK(series[0].points[1].second == 2);
    CHECK(series[0].points[1].refused == 1);
}

TEST_CASE("plotSvg.ShowsClassesAndMarksAsText")
{
    const auto series = load::makeSeries(script(), {result(0s, LoadOutcome::Answered, 1s)});
    const std::string svg = load::plotSvg(series, {{1.5, "router <1> killed"}});
    CHECK(svg.find("<polyline") != std::string::npos);
    CHECK(svg.find(">a</text>") != std::string::npos);
    CHECK(svg.find("router &lt;1> killed") != std::string::npos);
    CHECK(svg.substr(svg.size() - 7) == "</svg>\n");
}
