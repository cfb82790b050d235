#include <monsoongrade/load/loadplot.h>

#include <load/internal/svgcanvas.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <sstream>

namespace monsoongrade::load {

namespace {

using ValueOf = std::function<double(const SeriesPoint &)>;

constexpr double Left = 60;
constexpr double Width = 640;
constexpr double Height = 180;
constexpr double Gap = 60;
constexpr double Top = 40;
constexpr int Steps = 4;

std::string rounded(double value)
{
    std::ostringstream out;
    out.precision(3);
    out << value;
    return out.str();
}

// One chart with its axes; y grows upward from bottom.
class Chart
{
public:
    Chart(internal::SvgCanvas &canvas, double top, double lastSecond, double most)
        : canvas_(canvas)
        , top_(top)
        , lastSecond_(std::max(1.0, lastSecond))
        , most_(most)
    {
    }

    void drawAxes(const std::string &title)
    {
        canvas_.text(Left, top_ - 8, title, "start");
        for (int i = 0; i <= Steps; ++i) {
            const double value = most_ * i / Steps;
            canvas_.line(Left, y(value), Left + Width, y(value), "#dddddd");
            canvas_.text(Left - 6, y(value) + 4, rounded(value), "end");
            const double second = lastSecond_ * i / Steps;
            canvas_.text(x(second), top_ + Height + 16, rounded(second) + " s", "middle");
        }
    }

    void drawMark(const PlotMark &mark)
    {
        canvas_.line(x(mark.second), top_, x(mark.second), top_ + Height, "#888888");
        canvas_.text(x(mark.second) + 3, top_ + 12, mark.label, "start");
    }

    void drawSeries(const ClassSeries &series, const char *colour, const ValueOf &valueOf)
    {
        std::ostringstream &out = canvas_.raw();
        out << "<polyline fill=\"none\" stroke=\"" << colour << "\" stroke-width=\"2\" points=\"";
        for (const SeriesPoint &point : series.points)
            out << x(point.second) << "," << y(valueOf(point)) << " ";
        out << "\"/>\n";
    }

private:
    double x(double second) const { return Left + Width * second / lastSecond_; }
    double y(double value) const { return top_ + Height * (1 - std::min(1.0, value / most_)); }

    internal::SvgCanvas &canvas_;
    const double top_;
    const double lastSecond_;
    const double most_;
};

double attainment(const SeriesPoint &point)
{
    return static_cast<double>(point.attained) / static_cast<double>(point.sent);
}

} // namespace

std::string plotSvg(const std::vector<ClassSeries> &series, const std::vector<PlotMark> &marks)
{
    double lastSecond = 1;
    double longest = 0.1;
    for (const ClassSeries &one : series) {
        for (const SeriesPoint &point : one.points) {
            lastSecond = std::max(lastSecond, static_cast<double>(point.second));
            longest = std::max(longest, point.firstTokenP95);
        }
    }
    for (const PlotMark &mark : marks)
        lastSecond = std::max(lastSecond, mark.second);
    internal::SvgCanvas canvas(Left + Width + 140, Top + 2 * Height + Gap + 40);
    Chart kept(canvas, Top, lastSecond, 1);
    Chart waits(canvas, Top + Height + Gap, lastSecond, longest);
    kept.drawAxes("share of requests that kept their targets, by second of sending");
    waits.drawAxes("time to first token, 95th percentile, seconds");
    for (const PlotMark &mark : marks) {
        kept.drawMark(mark);
        waits.drawMark(mark);
    }
    for (std::size_t i = 0; i < series.size(); ++i) {
        const char *colour = internal::Colours[i % std::size(internal::Colours)];
        kept.drawSeries(series[i], colour, attainment);
        waits.drawSeries(series[i], colour, [](const SeriesPoint &p) { return p.firstTokenP95; });
        canvas.text(Left + Width + 12, Top + 16 * static_cast<double>(i + 1), series[i].name,
                    "start", colour);
    }
    return canvas.finish();
}

} // namespace monsoongrade::load
