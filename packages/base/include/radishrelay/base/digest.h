#ifndef RADISHRELAY_BASE_DIGEST_H
#define RADISHRELAY_BASE_DIGEST_H

#include <optional>
#include <string>
#include <string_view>

namespace radishrelay::base {

/// Returns the SHA-256 digest of \p Data, 32 raw bytes.
std::string sha256(std::string_view Data);

/// Returns the HMAC-SHA256 of \p Data under \p Key, 32 raw bytes.
std::string hmacSha256(std::string_view Key, std::string_view Data);

/// Compares for equality in time that depends only on the lengths.
bool constantTimeEqual(std::string_view Left, std::string_view Right);

/// Encodes as base64url without padding (RFC 4648, section 5).
std::string encodeBase64Url(std::string_view Data);

/// Inverse of encodeBase64Url. Returns nothing if \p Text is not the canonical
/// encoding of any data.
std::optional<std::string> decodeBase64Url(std::string_view Text);

/// Encodes as lower-case hexadecimal.
std::string encodeHex(std::string_view Data);

/// Returns \p Count bytes from OpenSSL's cryptographic generator, which is
/// seeded by the operating system, for keys and salts. Throws
/// std::runtime_error if the generator fails.
std::string secureRandomBytes(std::size_t Count);

} // namespace radishrelay::base

#endif
