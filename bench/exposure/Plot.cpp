#include "exposure/Plot.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <sstream>

namespace cowslipridge::exposure {

namespace {

constexpr int RowHeight = 18;
constexpr int LabelWidth = 330;
constexpr int PlotWidth = 560;
constexpr int Top = 60;
constexpr double Decades = 4.5;
constexpr std::array<const char *, 5> Colours = {
    "#1b6ca8", "#7a7a7a", "#c8553d", "#d9a441", "#3c896d"};

double scale(double value) {
  return PlotWidth * std::log10(std::max(1.0, value)) / Decades;
}

void drawAxis(std::ostream &out, int bottom) {
  for (int decade = 0; decade <= static_cast<int>(Decades); ++decade) {
    const double x = LabelWidth + scale(std::pow(10, decade));
    out << "<line x1='" << x << "' x2='" << x << "' y1='" << Top - 8 << "' y2='"
        << bottom << "' stroke='#ddd'/><text x='" << x << "' y='" << Top - 14
        << "' text-anchor='middle'>" << std::pow(10, decade) << "</text>\n";
  }
}

void drawBar(std::ostream &out, const Bar &bar, int y,
             const std::string &colour) {
  out << "<text x='" << LabelWidth - 8 << "' y='" << y + 12
      << "' text-anchor='end'>" << bar.Scenario << " / " << bar.Method
      << "</text><rect x='" << LabelWidth << "' y='" << y + 3 << "' width='"
      << scale(bar.Mean) << "' height='" << RowHeight - 6 << "' fill='"
      << colour << "'/><line x1='" << LabelWidth + scale(bar.Low) << "' x2='"
      << LabelWidth + scale(bar.High) << "' y1='" << y + RowHeight / 2
      << "' y2='" << y + RowHeight / 2 << "' stroke='#000'/><text x='"
      << LabelWidth + scale(bar.High) + 6 << "' y='" << y + 12 << "'>"
      << std::round(bar.Mean) << "</text>\n";
}

} // namespace

std::string drawBars(const std::string &title, const std::vector<Bar> &bars) {
  const int bottom = Top + RowHeight * static_cast<int>(bars.size());
  std::ostringstream out;
  out << "<svg xmlns='http://www.w3.org/2000/svg' width='"
      << LabelWidth + PlotWidth + 60 << "' height='" << bottom + 20
      << "' font-family='sans-serif' font-size='11'>\n<text x='10' y='20' "
         "font-size='14'>"
      << title << "</text>\n";
  drawAxis(out, bottom);
  std::map<std::string, std::string> colours;
  int y = Top;
  for (const Bar &it : bars) {
    const char *next = Colours[colours.size() % Colours.size()];
    const auto colour = colours.try_emplace(it.Method, next).first;
    drawBar(out, it, y, colour->second);
    y += RowHeight;
  }
  out << "</svg>\n";
  return out.str();
}

} // namespace cowslipridge::exposure
