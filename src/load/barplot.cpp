#include <monsoongrade/load/barplot.h>

#include <load/internal/svgcanvas.h>

#include <algorithm>
#include <iterator>

namespace monsoongrade::load {

namespace {

constexpr double Left = 50;
constexpr double Top = 60;
constexpr double Height = 120;
constexpr double GroupWidth = 112;
constexpr double BarWidth = 20;
constexpr double RowGap = 60;
constexpr double ColumnGap = 50;
constexpr int Steps = 4;

double chartWidth(const BarChart &chart)
{
    return GroupWidth * static_cast<double>(chart.groups.size());
}

void drawChart(internal::SvgCanvas &canvas, const BarChart &chart, double left, double top)
{
    canvas.text(left, top - 8, chart.title, "start");
    for (int i = 0; i <= Steps; ++i) {
        const double y = top + Height * (Steps - i) / Steps;
        canvas.line(left, y, left + chartWidth(chart), y, "#dddddd");
        canvas.text(left - 6, y + 4, std::to_string(100 * i / Steps), "end");
    }
    double x = left;
    for (const BarGroup &group : chart.groups) {
        canvas.text(x + GroupWidth / 2, top + Height + 16, group.label, "middle");
        double barX = x + (GroupWidth - BarWidth * static_cast<double>(group.percents.size())) / 2;
        for (std::size_t i = 0; i < group.percents.size(); ++i) {
            const double height = Height * std::clamp(group.percents[i], 0.0, 100.0) / 100;
            canvas.rectangle(barX, top + Height - height, BarWidth - 2, height,
                             internal::Colours[i % std::size(internal::Colours)]);
            barX += BarWidth;
        }
        x += GroupWidth;
    }
}

} // namespace

std::string plotBarsSvg(const std::vector<BarChart> &charts, const std::vector<std::string> &series,
                        int columns)
{
    double widest = 0;
    for (const BarChart &chart : charts)
        widest = std::max(widest, chartWidth(chart));
    const int count = static_cast<int>(charts.size());
    const int rows = (count + columns - 1) / columns;
    internal::SvgCanvas canvas(Left + columns * (widest + ColumnGap),
                               Top + rows * (Height + RowGap));
    double legendX = Left;
    for (std::size_t i = 0; i < series.size(); ++i) {
        canvas.text(legendX, 20, series[i], "start",
                    internal::Colours[i % std::size(internal::Colours)]);
        legendX += 120;
    }
    for (int i = 0; i < count; ++i)
        drawChart(canvas, charts[static_cast<std::size_t>(i)],
                  Left + i % columns * (widest + ColumnGap), Top + i / columns * (Height + RowGap));
    return canvas.finish();
}

} // namespace monsoongrade::load
