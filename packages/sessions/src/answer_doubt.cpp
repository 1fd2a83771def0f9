#include "radishrelay/sessions/answer_doubt.h"

#include <array>

namespace radishrelay::sessions {

std::string_view doubtName(answer_doubt Doubt) {
  static constexpr std::array<std::string_view, AnswerDoubtCount> Names{
      "unsolicited",    "early",          "unreadable",
      "wrong_content",  "wrong_phase",    "repeated_receipt",
      "repeated_error", "repeated_begin", "late_error",
      "older_position"};
  return Names.at(static_cast<std::size_t>(Doubt));
}

} // namespace radishrelay::sessions
