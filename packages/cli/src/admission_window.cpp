#include "admission_window.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace radishrelay::cli {

namespace {

constexpr double LowestValue = -std::numeric_limits<double>::infinity();

double seconds(base::duration Time) {
  return std::chrono::duration<double>(Time).count();
}

/// Window starts in the order of time. Holds, for each start, the number of
/// answered requests sent at or after it plus rate * start, and finds the
/// largest of these sums.
class window_starts {
public:
  explicit window_starts(std::size_t Count) {
    while (Leaves < Count)
      Leaves *= 2;
    Nodes.assign(2 * Leaves, {});
  }

  /// Counts the request that was sent at the start number \p Start. Starts are
  /// compared only from their first count on: before, they may lie after the
  /// end of the window.
  void count(std::size_t Start, double Offset) {
    std::size_t Index = Leaves + Start;
    Nodes[Index] = {1, Offset + 1};
    for (Index /= 2; Index > 0; Index /= 2)
      update(Index);
  }

  [[nodiscard]] double best() const { return Nodes[1].Best; }

private:
  struct node {
    double Count = 0;
    double Best = LowestValue;
  };

  void update(std::size_t Index) {
    const node &Left = Nodes[2 * Index];
    const node &Right = Nodes[2 * Index + 1];
    Nodes[Index] = {Left.Count + Right.Count,
                    std::max(Right.Best, Left.Best + Right.Count)};
  }

  std::size_t Leaves = 1;
  std::vector<node> Nodes;
};

} // namespace

double largestWindowExcess(const std::vector<admission_interval> &Admitted,
                           double RatePerSecond) {
  std::vector<admission_interval> BySent(Admitted);
  std::sort(BySent.begin(), BySent.end(),
            [](const auto &Left, const auto &Right) {
              return Left.Sent < Right.Sent;
            });
  std::vector<std::size_t> ByDone(BySent.size());
  std::iota(ByDone.begin(), ByDone.end(), std::size_t(0));
  std::sort(ByDone.begin(), ByDone.end(), [&](auto Left, auto Right) {
    return BySent[Left].Done < BySent[Right].Done;
  });
  window_starts Starts(BySent.size());
  double Largest = 0;
  for (std::size_t Index : ByDone) {
    const admission_interval &Interval = BySent[Index];
    Starts.count(Index, RatePerSecond * seconds(Interval.Sent));
    Largest = std::max(Largest,
                       Starts.best() - RatePerSecond * seconds(Interval.Done));
  }
  return Largest;
}

} // namespace radishrelay::cli
