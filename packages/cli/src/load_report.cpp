#include "load_report.h"

#include "load_profile.h"

#include <algorithm>
#include <iomanip>

namespace radishrelay::cli {

namespace {

constexpr double MicrosecondsPerMillisecond = 1000;
constexpr double Median = 0.5;
constexpr double Percentile99 = 0.99;
constexpr double Percentile999 = 0.999;
constexpr double Percent = 100;
constexpr std::size_t MostPromisesShown = 10;

double milliseconds(base::duration Time) {
  return static_cast<double>(Time.count()) / MicrosecondsPerMillisecond;
}

void printLatency(const char *Name, const base::latency_summary &Latency,
                  std::ostream &Out) {
  constexpr int Width = 10;
  Out << std::left << std::setw(Width) << Name << std::right << std::setw(Width)
      << Latency.count();
  for (double Probability : {Median, Percentile99, Percentile999})
    Out << std::setw(Width)
        << Latency.quantile(Probability) / MicrosecondsPerMillisecond;
  Out << std::setw(Width) << Latency.maximum() / MicrosecondsPerMillisecond
      << "\n";
}

void printAdded(const load_measures &Proxy, const load_measures &Direct,
                std::ostream &Out) {
  printLatency("dir.reads", Direct.Reads, Out);
  printLatency("dir.writes", Direct.Writes, Out);
  double Middle = Proxy.Reads.quantile(Median) - Direct.Reads.quantile(Median);
  double Tail =
      Proxy.Reads.quantile(Percentile99) - Direct.Reads.quantile(Percentile99);
  Out << "added to reads   " << Middle / MicrosecondsPerMillisecond
      << " ms p50, " << Tail / MicrosecondsPerMillisecond << " ms p99\n";
}

void printAccounts(const load_measures &Measures, std::ostream &Out) {
  constexpr int NameWidth = 16;
  constexpr int Width = 12;
  Out << std::left << std::setw(NameWidth) << "account" << std::right;
  for (const char *Title : {"offered", "within rate", "answered", "served %"})
    Out << std::setw(Width) << Title;
  Out << "\n";
  for (const account_measures &Account : Measures.Accounts)
    Out << std::left << std::setw(NameWidth) << Account.Name << std::right
        << std::setw(Width) << Account.Offered << std::setw(Width)
        << Account.WithinRate << std::setw(Width) << Account.Answered
        << std::setw(Width) << Account.served() * Percent << "\n";
}

void printPromises(const load_report &Report, std::ostream &Out) {
  Out << "broken promises  " << Report.Broken.size()
      << (Report.RowsChecked ? "" : " (rows at the end not checked)") << "\n";
  std::size_t Shown = std::min(Report.Broken.size(), MostPromisesShown);
  for (std::size_t Index = 0; Index < Shown; ++Index)
    Out << "  " << toString(Report.Broken[Index].Promise) << ": "
        << Report.Broken[Index].Detail << "\n";
}

base::json accountsJson(const load_measures &Measures) {
  base::json Accounts = base::json::array();
  for (const account_measures &Account : Measures.Accounts) {
    base::json Object = base::json::object();
    Object["account"] = Account.Name;
    Object["offered"] = Account.Offered;
    Object["within_rate"] = Account.WithinRate;
    Object["answered"] = Account.Answered;
    Object["refused_within_rate"] = Account.RefusedWithinRate;
    Accounts.push_back(std::move(Object));
  }
  return Accounts;
}

base::json scoresJson(const load_measures &Measures) {
  base::json Scores = base::json::object();
  for (const load_profile &Profile : loadProfiles())
    Scores[Profile.Name] = scoreOf(Measures, Profile.Weights);
  return Scores;
}

} // namespace

void printLoadReport(const load_report &Report, std::ostream &Out) {
  const load_measures &Measures = Report.Measures;
  double Seconds = std::chrono::duration<double>(Report.Length).count();
  Out << std::fixed << std::setprecision(2);
  Out << "requests         " << Measures.Requests << ", succeeded "
      << Measures.Succeeded << ", "
      << static_cast<double>(Measures.Succeeded) / Seconds << "/s\n";
  if (Measures.SentLate > 0)
    Out << "sent late        " << Measures.SentLate
        << " (all connections were in use; measures of other groups suffer)\n";
  Out << "latency ms     count       p50       p99     p99.9       max\n";
  printLatency("reads", Measures.Reads, Out);
  printLatency("writes", Measures.Writes, Out);
  if (Report.Direct)
    printAdded(Measures, *Report.Direct, Out);
  for (const auto &[Error, Count] : Measures.Errors)
    Out << "not answered     " << Count << "  " << Error << "\n";
  printAccounts(Measures, Out);
  Out << "replica share    " << Measures.ReplicaShare * Percent << " %\n";
  for (std::size_t Group = 0; Group < Report.Groups.size(); ++Group)
    Out << "write gap        " << milliseconds(Measures.WriteGaps[Group])
        << " ms  " << Report.Groups[Group] << "\n";
  Out << "worst served     " << Measures.worstServed() * Percent << " %\n";
  Out << "refused in rate  " << Measures.refusalShare() * Percent << " %\n";
  for (const load_profile &Profile : loadProfiles())
    Out << "score            " << scoreOf(Measures, Profile.Weights) << "  "
        << Profile.Name << "\n";
  for (const std::string &Step : Report.FailedSteps)
    Out << "failed step      " << Step << "\n";
  printPromises(Report, Out);
}

base::json toJson(const load_report &Report) {
  const load_measures &Measures = Report.Measures;
  base::json Object = base::json::object();
  Object["duration_ms"] = milliseconds(Report.Length);
  Object["requests"] = Measures.Requests;
  Object["succeeded"] = Measures.Succeeded;
  Object["sent_late"] = Measures.SentLate;
  Object["reads"] = Measures.Reads.dump();
  Object["writes"] = Measures.Writes.dump();
  if (Report.Direct) {
    Object["direct_reads"] = Report.Direct->Reads.dump();
    Object["direct_writes"] = Report.Direct->Writes.dump();
  }
  Object["errors"] = Measures.Errors;
  Object["accounts"] = accountsJson(Measures);
  Object["replica_share"] = Measures.ReplicaShare;
  Object["write_gap_ms"] = base::json::object();
  for (std::size_t Group = 0; Group < Report.Groups.size(); ++Group)
    Object["write_gap_ms"][Report.Groups[Group]] =
        milliseconds(Measures.WriteGaps[Group]);
  Object["worst_served"] = Measures.worstServed();
  Object["refused_within_rate"] = Measures.refusalShare();
  Object["scores"] = scoresJson(Measures);
  Object["failed_steps"] = Report.FailedSteps;
  Object["rows_checked"] = Report.RowsChecked;
  Object["broken_promises"] = base::json::array();
  for (const broken_promise &Broken : Report.Broken)
    Object["broken_promises"].push_back(
        {{"promise", toString(Broken.Promise)}, {"detail", Broken.Detail}});
  return Object;
}

} // namespace radishrelay::cli
