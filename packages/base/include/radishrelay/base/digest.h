#ifndef RADISHRELAY_BASE_DIGEST_H
#define RADISHRELAY_BASE_DIGEST_H

#include <optional>
#include <string>
#include <string_view>

namespace radishrelay::base {

/// SHA-256 of \p Data, 32 raw bytes.
std::string sha256(std::string_view Data);

/// HMAC-SHA256 of \p Data under \p Key, 32 raw bytes.
std::string hmacSha256(std::string_view Key, std::string_view Data);

/// Compares in a time that depends on the lengths only.
bool constantTimeEqual(std::string_view Left, std::string_view Right);

/// Base64url without padding (RFC 4648, section 5).
std::string encodeBase64Url(std::string_view Data);

/// Inverse of encodeBase64Url; empty when \p Text is not canonical.
std::optional<std::string> decodeBase64Url(std::string_view Text);

/// Lower-case hexadecimal form of \p Data.
std::string encodeHex(std::string_view Data);

/// \p Count bytes from the operating system's generator, for keys and salts.
std::string secureRandomBytes(std::size_t Count);

} // namespace radishrelay::base

#endif
