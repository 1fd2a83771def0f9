// The record of a run: what was sent, answered and run, with the time since
// the start in seconds.
#ifndef REVIEW_RECORD_HH
#define REVIEW_RECORD_HH

#include "sockets.hh"

#include <cstdio>
#include <fstream>

namespace review {

class record {
public:
  explicit record(const std::string &File)
      : Out(File), StartedAt(clock::now()) {}

  void add(const std::string &Who, const std::string &What) {
    std::lock_guard Guard(Mutex);
    char Time[32];
    std::snprintf(Time, sizeof(Time), "%8.3f", seconds());
    Out << Time << "  " << Who << ": " << printable(What) << std::endl;
  }

  [[nodiscard]] double seconds() const {
    return std::chrono::duration<double>(clock::now() - StartedAt).count();
  }

private:
  /// Shows control characters, and shortens long texts.
  static std::string printable(const std::string &Text) {
    constexpr std::size_t MaxLength = 300;
    std::string Result;
    for (char Character : Text.substr(0, MaxLength))
      if (Character == '\n')
        Result += "\\n";
      else if (Character == '\r')
        Result += "\\r";
      else
        Result += Character;
    return Text.size() > MaxLength ? Result + "..." : Result;
  }

  std::mutex Mutex;
  std::ofstream Out;
  clock::time_point StartedAt;
};

} // namespace review

#endif
