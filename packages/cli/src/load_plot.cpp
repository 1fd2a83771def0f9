#include "load_plot.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace radishrelay::cli {

namespace {

constexpr double ChartWidth = 800;
constexpr double ChartHeight = 220;
constexpr double Margin = 50;
constexpr double LegendWidth = 160;
constexpr double LegendStep = 16;
constexpr std::size_t Points = 100;
constexpr std::array<const char *, 8> Colors{"#1f77b4", "#ff7f0e", "#2ca02c",
                                             "#d62728", "#9467bd", "#8c564b",
                                             "#e377c2", "#17becf"};

/// One line of a chart: a value at each of \c Points equal steps.
struct curve {
  std::string Name;
  std::vector<double> Values;
};

std::size_t stepOf(base::duration At, base::duration Length) {
  auto Step = static_cast<std::size_t>(static_cast<double>(At.count()) *
                                       static_cast<double>(Points) /
                                       static_cast<double>(Length.count()));
  return std::min(Step, Points - 1);
}

curve rateCurve(const load_history &History, std::size_t Account,
                base::duration Length) {
  curve Curve{History.Accounts[Account].Name, std::vector<double>(Points)};
  double StepSeconds =
      std::chrono::duration<double>(Length).count() / double(Points);
  for (const request_record &Record : History.Records)
    if (Record.Plan.Account == Account && succeeded(Record))
      Curve.Values[stepOf(Record.Done, Length)] += 1 / StepSeconds;
  return Curve;
}

curve gapCurve(const load_history &History, const std::string &Name,
               std::size_t Group, base::duration Length) {
  std::vector<base::duration> Writes{base::duration::zero()};
  for (const request_record &Record : History.Records)
    if (Record.Plan.Group == Group && !isRead(Record.Plan.Kind) &&
        succeeded(Record))
      Writes.push_back(Record.Done);
  std::sort(Writes.begin(), Writes.end());
  curve Curve{Name, {}};
  for (std::size_t Step = 0; Step < Points; ++Step) {
    base::duration At = Length * static_cast<std::int64_t>(Step + 1) /
                        static_cast<std::int64_t>(Points);
    auto After = std::upper_bound(Writes.begin(), Writes.end(), At);
    base::duration Gap = At - *std::prev(After);
    Curve.Values.push_back(std::chrono::duration<double>(Gap).count());
  }
  return Curve;
}

void drawText(std::ostream &Out, double Left, double Top,
              const std::string &Text) {
  Out << "<text x=\"" << Left << "\" y=\"" << Top << "\">" << Text
      << "</text>\n";
}

void drawChart(std::ostream &Out, const std::string &Title, double Top,
               const std::vector<curve> &Curves) {
  double Highest = 0;
  for (const curve &Curve : Curves)
    for (double Value : Curve.Values)
      Highest = std::max(Highest, Value);
  double Scale = Highest > 0 ? ChartHeight / Highest : 0;
  std::ostringstream Label;
  Label << Title << ", highest " << Highest;
  drawText(Out, Margin, Top - 8, Label.str());
  Out << "<rect x=\"" << Margin << "\" y=\"" << Top << "\" width=\""
      << ChartWidth << "\" height=\"" << ChartHeight
      << "\" fill=\"none\" stroke=\"#888\"/>\n";
  for (std::size_t Index = 0; Index < Curves.size(); ++Index) {
    const char *Color = Colors[Index % Colors.size()];
    Out << "<polyline fill=\"none\" stroke=\"" << Color << "\" points=\"";
    for (std::size_t Step = 0; Step < Points; ++Step)
      Out << Margin + ChartWidth * double(Step) / double(Points - 1) << ","
          << Top + ChartHeight - Scale * Curves[Index].Values[Step] << " ";
    Out << "\"/>\n<g fill=\"" << Color << "\">";
    drawText(Out, Margin + ChartWidth + 10,
             Top + LegendStep * double(Index + 1), Curves[Index].Name);
    Out << "</g>\n";
  }
}

} // namespace

std::string plotLoad(const load_history &History,
                     const std::vector<std::string> &Groups,
                     base::duration Length) {
  std::vector<curve> Rates;
  for (std::size_t Index = 0; Index < History.Accounts.size(); ++Index)
    Rates.push_back(rateCurve(History, Index, Length));
  std::vector<curve> Gaps;
  for (std::size_t Index = 0; Index < Groups.size(); ++Index)
    Gaps.push_back(gapCurve(History, Groups[Index], Index, Length));
  std::ostringstream Out;
  Out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\""
      << Margin + ChartWidth + LegendWidth << "\" height=\""
      << 2 * (ChartHeight + 2 * Margin)
      << "\" font-family=\"sans-serif\" font-size=\"12\">\n";
  drawChart(Out, "Successful requests per second by client account", Margin,
            Rates);
  drawChart(Out, "Seconds since the last acknowledged write by group",
            ChartHeight + 2 * Margin, Gaps);
  Out << "</svg>\n";
  return Out.str();
}

} // namespace radishrelay::cli
