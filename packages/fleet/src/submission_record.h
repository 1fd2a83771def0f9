#ifndef RADISHRELAY_FLEET_SRC_SUBMISSION_RECORD_H
#define RADISHRELAY_FLEET_SRC_SUBMISSION_RECORD_H

#include "radishrelay/fleet/configuration_patch.h"

#include <optional>
#include <string>

namespace radishrelay::fleet::detail {

inline constexpr const char *OtherPatchMessage = "was used for another patch";

/// Row that the store keeps of an applied submission, by which a repetition of
/// the submission is recognised.
struct submission_record {
  configuration_version Version = 0;
  std::string PatchDigest;
};

base::json formatSubmissionRecord(const submission_record &Record);
std::optional<submission_record> parseSubmissionRecord(const base::json &Value);

/// Digest that distinguishes a repeated submission from another patch under the
/// same submission id.
std::string patchDigest(const configuration_patch &Patch);

} // namespace radishrelay::fleet::detail

#endif
