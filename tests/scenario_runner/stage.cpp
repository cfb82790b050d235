#include "stage.h"

#include <monsoongrade/load/loadrunner.h>

#include <iostream>
#include <stdexcept>

namespace monsoongrade::scenarios {

namespace {

constexpr std::size_t MostPrinted = 3;

} // namespace

Stage::Stage(ClusterPlan plan, std::filesystem::path programs, std::filesystem::path folder)
    : cluster_(std::move(plan), std::move(programs), std::move(folder))
{
}

void Stage::send(const load::LoadScript &script)
{
    const std::string name = script.classes.front().name;
    if (running_.count(name) > 0 || finished_.count(name) > 0)
        throw std::runtime_error("a load named " + name + " was already sent");
    running_[name] = std::async(std::launch::async, [this, script] {
        return load::runLoad(script, cluster_.client(), [](const std::string &) {});
    });
}

void Stage::join(const std::string &name)
{
    for (auto entry = running_.begin(); entry != running_.end();) {
        if (!name.empty() && entry->first != name) {
            ++entry;
            continue;
        }
        finished_[entry->first] = entry->second.get();
        entry = running_.erase(entry);
    }
    if (!name.empty() && finished_.count(name) == 0)
        throw std::runtime_error("no load named " + name + " was sent");
}

std::vector<load::LoadResult> Stage::results(const std::string &name)
{
    join(name);
    std::vector<load::LoadResult> all;
    for (const auto &[load, results] : finished_) {
        if (name.empty() || load == name)
            all.insert(all.end(), results.begin(), results.end());
    }
    return all;
}

std::chrono::steady_clock::time_point Stage::marked(const std::string &name) const
{
    const auto found = marks_.find(name);
    if (found == marks_.end())
        throw std::runtime_error("no mark is named " + name);
    return found->second;
}

std::vector<JournalEntry> Stage::journal(const std::string &endpoint) const
{
    std::vector<JournalEntry> all;
    for (const char *kind : {"model-", "service-"}) {
        for (const std::string &name : cluster_.names(kind)) {
            if (!endpoint.empty() && name != endpoint)
                continue;
            const auto entries = readJournal(name, cluster_.journal(name));
            all.insert(all.end(), entries.begin(), entries.end());
        }
    }
    return all;
}

void Stage::setPlace(const std::string &place)
{
    place_ = place;
    failuresHere_ = 0;
}

void Stage::fail(const std::string &what, const std::string &expected, const std::string &actual)
{
    ++failures_;
    if (++failuresHere_ > MostPrinted)
        return;
    std::cout << place_ << ": " << what << "\n  expected: " << expected
              << "\n  actual:   " << actual << "\n";
}

} // namespace monsoongrade::scenarios
