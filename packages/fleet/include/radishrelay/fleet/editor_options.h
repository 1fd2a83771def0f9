#ifndef RADISHRELAY_FLEET_EDITOR_OPTIONS_H
#define RADISHRELAY_FLEET_EDITOR_OPTIONS_H

#include "radishrelay/base/monotonic_clock.h"
#include "radishrelay/fleet/configuration_document.h"

#include <chrono>
#include <string>

namespace radishrelay::fleet {

/// Bounds of a configuration_editor.
struct editor_options {
  /// The document to which the first patch of a new fleet is applied.
  configuration_document Initial;
  /// Acknowledgements of witnesses count together within this time. It must be
  /// shorter than freshness_options::RestartConfirmationDelay.
  base::duration AcknowledgementWindow = std::chrono::seconds(3);
  /// Time between two offers to a witness that has not answered.
  base::duration OfferInterval = std::chrono::milliseconds(300);
  /// First pause after a failure of the store; it doubles up to the longest.
  base::duration FirstRetryPause = std::chrono::milliseconds(100);
  base::duration LongestRetryPause = std::chrono::seconds(1);
  /// Author of the patches that the editor submits itself.
  std::string OwnAuthor = "radishrelayd";
  /// Time that a submission of the editor itself may take.
  base::duration OwnTimeout = std::chrono::seconds(10);
};

} // namespace radishrelay::fleet

#endif
