/// Hash functions with the same results at every invoker and on every machine.
#pragma once

#include <cstdint>
#include <string>

namespace pathstack::policy {

/// Finalizer of splitmix64: makes every bit of the result depend on every bit of `x`.
inline std::uint64_t mix(std::uint64_t x) {
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

/// 64-bit FNV-1a followed by `mix`.
inline std::uint64_t hash_of(const std::string& text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return mix(hash);
}

}  // namespace pathstack::policy
