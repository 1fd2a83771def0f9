#ifndef RADISHRELAY_FLEET_SRC_SHORT_DIGEST_H
#define RADISHRELAY_FLEET_SRC_SHORT_DIGEST_H

#include <cstdint>
#include <string>

namespace radishrelay::fleet::detail {

/// Returns the first 64 bits of a hexadecimal digest, as sent in
/// evidence_answer.
inline std::uint64_t shortDigest(const std::string &Digest) {
  constexpr std::size_t Digits = 16;
  constexpr int Hexadecimal = 16;
  return std::stoull(Digest.substr(0, Digits), nullptr, Hexadecimal);
}

} // namespace radishrelay::fleet::detail

#endif
