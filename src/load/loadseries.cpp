#include <monsoongrade/load/loadseries.h>

#include <algorithm>
#include <map>

namespace monsoongrade::load {

namespace {

constexpr double TailShare = 0.95;

int secondOf(const LoadResult &result)
{
    return static_cast<int>(
        std::chrono::duration_cast<std::chrono::seconds>(result.sentAt).count());
}

void count(SeriesPoint &point, const LoadClass &loadClass, const LoadResult &result)
{
    ++point.sent;
    point.answered += result.outcome == LoadOutcome::Answered ? 1 : 0;
    point.refused += result.outcome == LoadOutcome::Refused ? 1 : 0;
    point.failed += result.outcome == LoadOutcome::Failed ? 1 : 0;
    point.attained += isAttained(loadClass, result) ? 1 : 0;
}

double tailOf(std::vector<double> &values)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(TailShare * static_cast<double>(values.size() - 1))];
}

} // namespace

bool isAttained(const LoadClass &loadClass, const LoadResult &result)
{
    return result.outcome == LoadOutcome::Answered
        && result.firstToken <= loadClass.firstTokenTarget
        && result.whole <= loadClass.wholeAnswerTarget;
}

std::vector<ClassSeries> makeSeries(const LoadScript &script,
                                    const std::vector<LoadResult> &results)
{
    std::vector<ClassSeries> all;
    for (const LoadClass &loadClass : script.classes) {
        std::map<int, SeriesPoint> points;
        std::map<int, std::vector<double>> firstTokens;
        for (const LoadResult &result : results) {
            if (result.className != loadClass.name)
                continue;
            const int second = secondOf(result);
            count(points[second], loadClass, result);
            if (result.outcome == LoadOutcome::Answered)
                firstTokens[second].push_back(
                    std::chrono::duration<double>(result.firstToken).count());
        }
        ClassSeries series;
        series.name = loadClass.name;
        for (auto &[second, point] : points) {
            point.second = second;
            point.firstTokenP95 = tailOf(firstTokens[second]);
            series.points.push_back(point);
        }
        all.push_back(std::move(series));
    }
    return all;
}

} // namespace monsoongrade::load
