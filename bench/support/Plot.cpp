#include "support/Plot.hpp"

#include <algorithm>
#include <fstream>

namespace cowslipridge::bench {

namespace {

// Lengths in pixels.
constexpr double LabelWidth = 330;
constexpr double BarWidth = 420;
constexpr double ValueWidth = 90;
constexpr double RowHeight = 20;
constexpr double TitleHeight = 30;

void writeText(std::ostream &out, double x, double y, const std::string &text) {
  out << "<text x='" << x << "' y='" << y << "'>" << text << "</text>\n";
}

void writeBar(std::ostream &out, const PlotBar &bar, double y, double scale) {
  const double middle = y + RowHeight / 2;
  writeText(out, 5, middle + 4, bar.Group + " / " + bar.Label);
  out << "<rect x='" << LabelWidth << "' y='" << y + 3 << "' width='"
      << std::max(0.0, bar.Value.Median * scale) << "' height='"
      << RowHeight - 6 << "' fill='#5b8db8'/>\n";
  out << "<line x1='" << LabelWidth + bar.Value.P10 * scale << "' x2='"
      << LabelWidth + bar.Value.P90 * scale << "' y1='" << middle << "' y2='"
      << middle << "' stroke='black'/>\n";
  writeText(out, LabelWidth + BarWidth + 8, middle + 4,
            std::to_string(bar.Value.Median).substr(0, 8));
}

} // namespace

void writeBarPlot(const std::string &path, const std::string &title,
                  const std::vector<PlotBar> &bars) {
  double largest = 1e-9;
  for (const PlotBar &bar : bars)
    largest = std::max(largest, bar.Value.P90);
  const double scale = BarWidth / largest;
  std::ofstream out(path);
  out << "<svg xmlns='http://www.w3.org/2000/svg' width='"
      << LabelWidth + BarWidth + ValueWidth << "' height='"
      << TitleHeight + RowHeight * static_cast<double>(bars.size())
      << "' font-family='sans-serif' font-size='11'>\n"
      << "<rect width='100%' height='100%' fill='white'/>\n";
  writeText(out, 5, TitleHeight - 10, title + ", median and p10 to p90");
  double y = TitleHeight;
  for (const PlotBar &bar : bars) {
    writeBar(out, bar, y, scale);
    y += RowHeight;
  }
  out << "</svg>\n";
}

} // namespace cowslipridge::bench
