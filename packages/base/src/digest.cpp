#include "radishrelay/base/digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <cstdint>
#include <stdexcept>

namespace radishrelay::base {

namespace {

constexpr std::string_view Base64UrlAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

const unsigned char *bytes(std::string_view Data) {
  return reinterpret_cast<const unsigned char *>(Data.data());
}

std::string toString(const unsigned char *Data, std::size_t Size) {
  return std::string(reinterpret_cast<const char *>(Data), Size);
}

} // namespace

std::string sha256(std::string_view Data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Size = 0;
  EVP_Digest(Data.data(), Data.size(), Digest.data(), &Size, EVP_sha256(),
             nullptr);
  return toString(Digest.data(), Size);
}

std::string hmacSha256(std::string_view Key, std::string_view Data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Size = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()), bytes(Data),
       Data.size(), Digest.data(), &Size);
  return toString(Digest.data(), Size);
}

bool constantTimeEqual(std::string_view Left, std::string_view Right) {
  if (Left.size() != Right.size())
    return false;
  return CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

std::string encodeBase64Url(std::string_view Data) {
  std::string Text;
  Text.reserve((Data.size() * 4 + 2) / 3);
  std::uint32_t Buffer = 0;
  int Bits = 0;
  for (unsigned char Byte : Data) {
    Buffer = (Buffer << 8) | Byte;
    Bits += 8;
    while (Bits >= 6) {
      Bits -= 6;
      Text += Base64UrlAlphabet[(Buffer >> Bits) & 63];
    }
  }
  if (Bits > 0)
    Text += Base64UrlAlphabet[(Buffer << (6 - Bits)) & 63];
  return Text;
}

std::optional<std::string> decodeBase64Url(std::string_view Text) {
  std::string Data;
  Data.reserve(Text.size() * 3 / 4);
  std::uint32_t Buffer = 0;
  int Bits = 0;
  for (char Character : Text) {
    std::size_t Value = Base64UrlAlphabet.find(Character);
    if (Value == std::string_view::npos)
      return std::nullopt;
    Buffer = (Buffer << 6) | static_cast<std::uint32_t>(Value);
    Bits += 6;
    if (Bits >= 8) {
      Bits -= 8;
      Data += static_cast<char>((Buffer >> Bits) & 255);
    }
  }
  // The remaining bits must be zero and fewer than six; otherwise two texts
  // would decode to the same bytes.
  std::uint32_t RemainingBits = Buffer & ((1U << Bits) - 1);
  if (Bits >= 6 || RemainingBits != 0)
    return std::nullopt;
  return Data;
}

std::string encodeHex(std::string_view Data) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  Text.reserve(Data.size() * 2);
  for (unsigned char Byte : Data) {
    Text += Digits[Byte >> 4];
    Text += Digits[Byte & 15];
  }
  return Text;
}

std::string secureRandomBytes(std::size_t Count) {
  std::string Data(Count, '\0');
  auto *Target = reinterpret_cast<unsigned char *>(Data.data());
  if (RAND_bytes(Target, static_cast<int>(Count)) != 1)
    throw std::runtime_error(
        "OpenSSL RAND_bytes failed to generate random bytes");
  return Data;
}

} // namespace radishrelay::base
