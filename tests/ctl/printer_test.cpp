#include <monsoongrade/ctl/printer.h>

#include <doctest/doctest.h>

namespace monsoongrade::ctl {

TEST_CASE("Printer.YamlNestsMappingsAndLists")
{
    const nlohmann::json value{{"a", 1}, {"b", {"x", "y: z"}}, {"c", nlohmann::json::array()}};
    CHECK(toYaml(value) == "\"a\": 1\n\"b\":\n  - \"x\"\n  - \"y: z\"\n\"c\": []\n");
}

} // namespace monsoongrade::ctl
