#include "radishrelay/base/rendezvous.h"

#include "radishrelay/base/random_generator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace radishrelay::base {

std::uint64_t stableHash(std::string_view Text) {
  // FNV-1a followed by a finalizer, since FNV-1a alone gives short keys similar
  // high bits.
  std::uint64_t Hash = 0xcbf29ce484222325ULL;
  for (unsigned char Byte : Text) {
    Hash ^= Byte;
    Hash *= 0x100000001b3ULL;
  }
  return mixBits(Hash);
}

namespace {

struct scored_member {
  double Score;
  const std::string *Name;
};

/// Score of weighted rendezvous hashing: -weight / ln(h) with h in (0, 1).
double score(std::uint64_t KeyHash, const rendezvous_member &Member) {
  std::uint64_t Hash = mixBits(KeyHash ^ stableHash(Member.Name));
  double Unit = (static_cast<double>(Hash >> 11) + 0.5) / 9007199254740992.0;
  return -Member.Weight / std::log(Unit);
}

bool isPreferred(const scored_member &Left, const scored_member &Right) {
  if (Left.Score != Right.Score)
    return Left.Score > Right.Score;
  return *Left.Name < *Right.Name;
}

} // namespace

std::vector<std::string>
rendezvousOrder(std::string_view Key,
                const std::vector<rendezvous_member> &Members) {
  std::uint64_t KeyHash = stableHash(Key);
  std::vector<scored_member> Scored;
  Scored.reserve(Members.size());
  for (const rendezvous_member &Member : Members)
    if (Member.Weight > 0)
      Scored.push_back({score(KeyHash, Member), &Member.Name});
  std::sort(Scored.begin(), Scored.end(), isPreferred);
  std::vector<std::string> Names;
  Names.reserve(Scored.size());
  for (const scored_member &Member : Scored)
    Names.push_back(*Member.Name);
  return Names;
}

std::vector<std::string>
rendezvousOrder(std::string_view Key, const std::vector<std::string> &Names) {
  std::vector<rendezvous_member> Members;
  Members.reserve(Names.size());
  for (const std::string &Name : Names)
    Members.push_back({Name, 1.0});
  return rendezvousOrder(Key, Members);
}

} // namespace radishrelay::base
