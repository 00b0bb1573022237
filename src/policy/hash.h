// Hashes that are the same at every invoker and on every machine.
#pragma once

#include <cstdint>
#include <string>

namespace pathstack::policy {

/// Finisher of splitmix64: spreads every bit of `x` over the whole word.
inline std::uint64_t mix(std::uint64_t x) {
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

/// FNV-1a, then mixed.
inline std::uint64_t hash_of(const std::string& text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return mix(hash);
}

}  // namespace pathstack::policy
