#include <monsoongrade/ctl/exposition.h>
#include <monsoongrade/observability/metrics.h>

#include <doctest/doctest.h>

namespace monsoongrade::ctl {

TEST_CASE("Exposition.ReadsBackWhatMetricsWrite")
{
    observability::Metrics metrics;
    metrics.add("requests_total", observability::label("class", "a \"b\"\\ {}"), 3);
    const auto samples = readExposition(metrics.exposition());
    REQUIRE(samples.size() == 1);
    CHECK(samples[0].name == "requests_total");
    CHECK(samples[0].labels.at("class") == "a \"b\"\\ {}");
    CHECK(samples[0].value == doctest::Approx(3));
}

TEST_CASE("Exposition.PassesOverWhatItCannotRead")
{
    CHECK(readExposition("# TYPE a counter\nbroken{x=\"1\n\n").empty());
}

} // namespace monsoongrade::ctl
