#include "radishrelay/base/metrics_registry.h"

#include <sstream>
#include <string_view>

namespace radishrelay::base {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;

std::string escapeLabel(const std::string &Value) {
  std::string Escaped;
  for (char Character : Value) {
    if (Character == '\\' || Character == '"')
      Escaped += '\\';
    if (Character == '\n')
      Escaped += "\\n";
    else
      Escaped += Character;
  }
  return Escaped;
}

std::string seriesName(const metric_name &Name, const std::string &Suffix = "",
                       const std::string &ExtraLabel = "") {
  std::string Labels = ExtraLabel;
  if (!Name.LabelName.empty()) {
    std::string Separator = Labels.empty() ? "" : ",";
    Labels += Separator + Name.LabelName + "=\"" +
              escapeLabel(Name.LabelValue) + "\"";
  }
  std::string Text = Name.Name + Suffix;
  return Labels.empty() ? Text : Text + "{" + Labels + "}";
}

/// Writes the "# TYPE" line once per metric family.
void writeTypeLine(std::ostream &Out, std::string &LastFamily,
                   const std::string &Family, std::string_view Type) {
  if (Family == LastFamily)
    return;
  Out << "# TYPE " << Family << ' ' << Type << '\n';
  LastFamily = Family;
}

void writeSummary(std::ostream &Out, const metric_name &Name,
                  const latency_summary &Summary) {
  for (double Probability : {0.5, 0.9, 0.99, 0.999}) {
    std::ostringstream Label;
    Label << "quantile=\"" << Probability << '"';
    Out << seriesName(Name, "", Label.str()) << ' '
        << Summary.quantile(Probability) / MicrosecondsPerSecond << '\n';
  }
  double Sum = Summary.mean() * static_cast<double>(Summary.count());
  Out << seriesName(Name, "_sum") << ' ' << Sum / MicrosecondsPerSecond << '\n';
  Out << seriesName(Name, "_count") << ' ' << Summary.count() << '\n';
}

} // namespace

void metrics_registry::increment(const metric_name &Name,
                                 std::uint64_t Amount) {
  std::lock_guard Guard(Mutex);
  Counters[Name] += Amount;
}

void metrics_registry::setGauge(const metric_name &Name, double Value) {
  std::lock_guard Guard(Mutex);
  Gauges[Name] = Value;
}

void metrics_registry::observe(const metric_name &Name, duration Latency) {
  std::lock_guard Guard(Mutex);
  Summaries[Name].add(Latency);
}

std::string metrics_registry::prometheusText() const {
  std::lock_guard Guard(Mutex);
  std::ostringstream Out;
  std::string Family;
  for (const auto &[Name, Value] : Counters) {
    writeTypeLine(Out, Family, Name.Name, "counter");
    Out << seriesName(Name) << ' ' << Value << '\n';
  }
  for (const auto &[Name, Value] : Gauges) {
    writeTypeLine(Out, Family, Name.Name, "gauge");
    Out << seriesName(Name) << ' ' << Value << '\n';
  }
  for (const auto &[Name, Summary] : Summaries) {
    writeTypeLine(Out, Family, Name.Name, "summary");
    writeSummary(Out, Name, Summary);
  }
  return Out.str();
}

json metrics_registry::dump() const {
  std::lock_guard Guard(Mutex);
  json Dump = json::object();
  for (const auto &[Name, Value] : Counters)
    Dump[seriesName(Name)] = Value;
  for (const auto &[Name, Value] : Gauges)
    Dump[seriesName(Name)] = Value;
  for (const auto &[Name, Summary] : Summaries)
    Dump[seriesName(Name)] = Summary.dump();
  return Dump;
}

} // namespace radishrelay::base
