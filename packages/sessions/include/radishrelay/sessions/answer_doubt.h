#ifndef RADISHRELAY_SESSIONS_ANSWER_DOUBT_H
#define RADISHRELAY_SESSIONS_ANSWER_DOUBT_H

#include <cstddef>
#include <string_view>

namespace radishrelay::sessions {

/// Why an answer may belong to another request than the one it was taken for.
/// Answers carry no identifier, so each is taken for the answer to the oldest
/// request of its connection; an instance that answers twice shifts them.
enum class answer_doubt {
  /// No request was outstanding when the answer was read.
  Unsolicited,
  /// Bytes of the instance had arrived before the next request was sent.
  Early,
  /// The answer violates the protocol.
  Unreadable,
  /// Receipt, rows or status are not those of an answer to the request.
  WrongContent,
  /// The session state does not follow from the one before and the request.
  WrongPhase,
  /// The connection has carried the receipt before.
  RepeatedReceipt,
  /// The connection has carried an equal error before. The instance may have
  /// rejected two requests in the same way, or rejected one twice.
  RepeatedError,
  /// The answer to opening a transaction equals an earlier one. If it is a
  /// copy, the statement behind it may run outside a transaction.
  RepeatedBegin,
  /// The error may be the late answer to a request before, for whose answer a
  /// copy of another one was taken.
  LateError,
  /// The connection has carried an answer with a later log position before.
  OlderPosition,
};

constexpr std::size_t AnswerDoubtCount = 10;

/// Returns the name of \p Doubt in logs and metrics, in snake case.
std::string_view doubtName(answer_doubt Doubt);

/// Whether the doubt is about which request of the connection an error answers.
constexpr bool isAboutError(answer_doubt Doubt) {
  return Doubt == answer_doubt::RepeatedError ||
         Doubt == answer_doubt::LateError;
}

} // namespace radishrelay::sessions

#endif
