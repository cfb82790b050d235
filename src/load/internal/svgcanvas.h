#ifndef MONSOONGRADE_LOAD_INTERNAL_SVGCANVAS_H
#define MONSOONGRADE_LOAD_INTERNAL_SVGCANVAS_H

#include <sstream>
#include <string>

namespace monsoongrade::load::internal {

constexpr const char *Colours[]
    = {"#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9"};

// The few shapes that a chart is made of, written as SVG. Coordinates are pixels from the top left.
class SvgCanvas
{
public:
    SvgCanvas(double width, double height);

    void line(double x1, double y1, double x2, double y2, const char *colour);
    void rectangle(double x, double y, double width, double height, const char *colour);
    void text(double x, double y, const std::string &words, const char *anchor,
              const char *colour = "#222222");
    // For shapes that one chart alone needs.
    std::ostringstream &raw() { return out_; }
    // The whole picture; nothing may be drawn after it.
    std::string finish();

private:
    std::ostringstream out_;
};

} // namespace monsoongrade::load::internal

#endif // MONSOONGRADE_LOAD_INTERNAL_SVGCANVAS_H
