#include <monsoongrade/load/loadplot.h>

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
const char *const Colours[] = {"#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9"};

std::string escaped(const std::string &text)
{
    std::string out;
    for (const char c : text) {
        if (c == '<')
            out += "&lt;";
        else if (c == '&')
            out += "&amp;";
        else
            out += c;
    }
    return out;
}

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
    Chart(std::ostringstream &out, double top, double lastSecond, double most)
        : out_(out)
        , top_(top)
        , lastSecond_(std::max(1.0, lastSecond))
        , most_(most)
    {
    }

    void drawAxes(const std::string &title)
    {
        text(Left, top_ - 8, title, "start");
        for (int i = 0; i <= Steps; ++i) {
            const double value = most_ * i / Steps;
            line(Left, y(value), Left + Width, y(value), "#dddddd");
            text(Left - 6, y(value) + 4, rounded(value), "end");
            const double second = lastSecond_ * i / Steps;
            text(x(second), top_ + Height + 16, rounded(second) + " s", "middle");
        }
    }

    void drawMark(const PlotMark &mark)
    {
        line(x(mark.second), top_, x(mark.second), top_ + Height, "#888888");
        text(x(mark.second) + 3, top_ + 12, mark.label, "start");
    }

    void drawSeries(const ClassSeries &series, const char *colour, const ValueOf &valueOf)
    {
        out_ << "<polyline fill=\"none\" stroke=\"" << colour << "\" stroke-width=\"2\" points=\"";
        for (const SeriesPoint &point : series.points)
            out_ << x(point.second) << "," << y(valueOf(point)) << " ";
        out_ << "\"/>\n";
    }

    void text(double atX, double atY, const std::string &words, const char *anchor,
              const char *colour = "#222222")
    {
        out_ << "<text x=\"" << atX << "\" y=\"" << atY << "\" text-anchor=\"" << anchor
             << "\" fill=\"" << colour << "\">" << escaped(words) << "</text>\n";
    }

private:
    double x(double second) const { return Left + Width * second / lastSecond_; }
    double y(double value) const { return top_ + Height * (1 - std::min(1.0, value / most_)); }

    void line(double x1, double y1, double x2, double y2, const char *colour)
    {
        out_ << "<line x1=\"" << x1 << "\" y1=\"" << y1 << "\" x2=\"" << x2 << "\" y2=\"" << y2
             << "\" stroke=\"" << colour << "\"/>\n";
    }

    std::ostringstream &out_;
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
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << Left + Width + 140
        << "\" height=\"" << Top + 2 * Height + Gap + 40
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    Chart kept(out, Top, lastSecond, 1);
    Chart waits(out, Top + Height + Gap, lastSecond, longest);
    kept.drawAxes("share of requests that kept their targets, by second of sending");
    waits.drawAxes("time to first token, 95th percentile, seconds");
    for (const PlotMark &mark : marks) {
        kept.drawMark(mark);
        waits.drawMark(mark);
    }
    for (std::size_t i = 0; i < series.size(); ++i) {
        const char *colour = Colours[i % std::size(Colours)];
        kept.drawSeries(series[i], colour, attainment);
        waits.drawSeries(series[i], colour, [](const SeriesPoint &p) { return p.firstTokenP95; });
        kept.text(Left + Width + 12, Top + 16 * static_cast<double>(i + 1), series[i].name, "start",
                  colour);
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace monsoongrade::load
