#ifndef RADISHRELAY_FLEET_EDITOR_OPTIONS_H
#define RADISHRELAY_FLEET_EDITOR_OPTIONS_H

#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/fleet/configuration_document.h"

#include <chrono>
#include <string>

namespace radishrelay::fleet {

/// Timing and identity of a configuration_editor.
struct editor_options {
  /// The document to which the first patch of a new fleet is applied.
  configuration_document InitialDocument;
  /// A majority counts only if all of its acknowledged offers were sent at most
  /// this long ago. Must be shorter than
  /// freshness_options::RestartConfirmationDelay, so that the acknowledgements
  /// of a witness before a restart have expired when it counts again.
  base::duration AcknowledgementWindow = std::chrono::seconds(3);
  /// Time between two offers to a witness that has not acknowledged.
  base::duration OfferInterval = std::chrono::milliseconds(300);
  /// Delay before a store request is retried after the first failure. The delay
  /// doubles with each further failure, up to MaxBackoff.
  base::duration InitialBackoff = std::chrono::milliseconds(100);
  base::duration MaxBackoff = std::chrono::seconds(1);
  /// Author of the patches that the editor submits itself (confirm_witnesses).
  std::string InternalAuthor = "radishrelayd";
  /// Time limit of a submission by the editor itself.
  base::duration InternalTimeout = std::chrono::seconds(10);
};

} // namespace radishrelay::fleet

#endif
