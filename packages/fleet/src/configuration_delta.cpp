#include "radishrelay/fleet/configuration_delta.h"

#include "json_reader.h"

namespace radishrelay::fleet {

base::json formatDelta(const configuration_delta &Delta) {
  base::json Patches = base::json::array();
  for (const configuration_patch &Patch : Delta.Patches)
    Patches.push_back(formatPatch(Patch));
  base::json Result = {{"from", Delta.From},
                       {"to", Delta.To},
                       {"patches", std::move(Patches)},
                       {"digest", Delta.Digest}};
  if (Delta.Document)
    Result["document"] = formatConfiguration(*Delta.Document);
  return Result;
}

base::expected<configuration_delta, configuration_errors>
parseDelta(const base::json &Value) {
  configuration_errors Errors;
  detail::json_reader Reader(Value, "", Errors);
  configuration_delta Delta;
  Delta.From = static_cast<configuration_version>(Reader.integer("from"));
  Delta.To = static_cast<configuration_version>(Reader.integer("to"));
  Delta.Digest = Reader.string("digest");
  if (!Errors.empty())
    return Errors;
  for (const base::json &Item : Value.value("patches", base::json::array())) {
    auto Patch = parsePatch(Item);
    if (!Patch)
      return Patch.error();
    Delta.Patches.push_back(std::move(*Patch));
  }
  if (Value.contains("document")) {
    auto Document = parseConfiguration(Value["document"]);
    if (!Document)
      return Document.error();
    Delta.Document = std::move(*Document);
  }
  return Delta;
}

} // namespace radishrelay::fleet
