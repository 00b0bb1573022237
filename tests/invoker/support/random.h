/// Random numbers, cuts and byte strings from fixed seeds.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace pathstack::test {

using Random = std::mt19937_64;

/// Returns a random number in [0, bound).
inline std::size_t below(Random& random, std::size_t bound) { return random() % bound; }

/// Parses `bytes` in chunks of random size, as a parser must give the same messages however its input is
/// split. Sets `valid` to false if the parser rejects the input.
template <typename Parser, typename Out>
std::vector<Out> parse_cut(Random& random, const std::string& bytes, bool& valid) {
  Parser parser;
  std::vector<Out> out;
  valid = true;
  for (std::size_t at = 0; at < bytes.size() && valid;) {
    const std::size_t size = std::min(bytes.size() - at, 1 + below(random, 1 + below(random, 40)));
    valid = parser.take(std::string_view(bytes).substr(at, size), out);
    at += size;
  }
  return out;
}
/// Returns up to 399 bytes, two thirds from `alphabet` and the rest arbitrary.
inline std::string garbage(Random& random, const std::string& alphabet) {
  std::string out(below(random, 400), ' ');
  for (char& c : out)
    c = below(random, 3) == 0 ? static_cast<char>(random()) : alphabet[below(random, alphabet.size())];
  return out;
}

}  // namespace pathstack::test
