#include <load/internal/svgcanvas.h>

namespace monsoongrade::load::internal {

namespace {

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

} // namespace

SvgCanvas::SvgCanvas(double width, double height)
{
    out_ << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\""
         << height << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
         << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
}

void SvgCanvas::line(double x1, double y1, double x2, double y2, const char *colour)
{
    out_ << "<line x1=\"" << x1 << "\" y1=\"" << y1 << "\" x2=\"" << x2 << "\" y2=\"" << y2
         << "\" stroke=\"" << colour << "\"/>\n";
}

void SvgCanvas::rectangle(double x, double y, double width, double height, const char *colour)
{
    out_ << "<rect x=\"" << x << "\" y=\"" << y << "\" width=\"" << width << "\" height=\""
         << height << "\" fill=\"" << colour << "\"/>\n";
}

void SvgCanvas::text(double x, double y, const std::string &words, const char *anchor,
                     const char *colour)
{
    out_ << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor << "\" fill=\""
         << colour << "\">" << escaped(words) << "</text>\n";
}

std::string SvgCanvas::finish()
{
    out_ << "</svg>\n";
    return out_.str();
}

} // namespace monsoongrade::load::internal
