// Tests the parsers with valid messages in random pieces, with invalid messages and with random bytes.
#include <catch2/catch.hpp>

#include "amqp/content_header.h"
#include "amqp/field_codec.h"
#include "amqp/frame.h"
#include "feed/membership_client.h"
#include "hosts/line_parser.h"
#include "net/fields.h"
#include "resp/parser.h"
#include "support/random.h"
#include "support/settings.h"

namespace pathstack::test {
namespace {

constexpr int kRounds = 300;

std::string random_bytes(Random& random, std::size_t limit) {
  std::string out(below(random, limit), ' ');
  for (char& c : out) c = static_cast<char>(random());
  return out;
}

TEST_CASE("RESP arrays are read as written, in pieces of any size") {
  Random random(1);
  for (int round = 0; round < kRounds; ++round) {
    std::vector<resp::Words> sent(1 + below(random, 4));
    std::string bytes;
    for (auto& words : sent) {
      words.resize(1 + below(random, resp::Parser::kMaxWords));
      for (auto& word : words) word = random_bytes(random, below(random, 20) == 0 ? 3000 : 20);
      resp::write_array(bytes, std::vector<std::string_view>(words.begin(), words.end()));
    }
    bool valid = false;
    CHECK(parse_cut<resp::Parser, resp::Words>(random, bytes, valid) == sent);
    CHECK(valid);
  }
}

TEST_CASE("input other than a RESP array of allowed size is an error of the stream") {
  Random random(2);
  bool valid = true;
  for (const char* bad : {"*0\r\n", "*9\r\n", "*-1\r\n", "*1\r\n$16385\r\n", "*1\r\n$x\r\n",
                          "*1\r\n$1\r\nabc", "+OK\r\n", "*1\r$", "*1111111111111111", "*1\r\n$-1\r\n"}) {
    parse_cut<resp::Parser, resp::Words>(random, bad, valid);
    CHECK_FALSE(valid);
  }
  // Only one word may be long: the limit is checked before memory is allocated.
  const std::string long_word = "$16384\r\n" + std::string(16384, 'x') + "\r\n";
  parse_cut<resp::Parser, resp::Words>(random, "*2\r\n" + long_word + "$2049\r\n", valid);
  CHECK_FALSE(valid);
  parse_cut<resp::Parser, resp::Words>(random, "*1\r\n$0\r\n\r\n", valid);
  CHECK(valid);
}

TEST_CASE("lines of hosts are read as written, in pieces of any size") {
  Random random(3);
  for (int round = 0; round < kRounds; ++round) {
    std::string bytes;
    std::vector<std::string> sent, read;
    for (std::size_t i = 0; i < 1 + below(random, 5); ++i) {
      const std::string body = random_bytes(random, 300), id = net::hex16(random());
      const bool has_body = below(random, 2) == 0;
      bytes +=
          id + " data crowd=3" + (has_body ? ' ' + std::to_string(body.size()) + "\r\n" + body : "") + "\r\n";
      sent.push_back(id + "crowd=3" + (has_body ? body : "-"));
    }
    bool valid = false;
    for (const auto& r : parse_cut<hosts::LineParser, hosts::Reply>(random, bytes, valid)) {
      read.push_back(r.id + r.fields + r.body.value_or("-"));
    }
    CHECK(read == sent);
    CHECK(valid);
  }
  bool valid = true;
  for (const char* bad :
       {"\r\n", "one\r\n", "a b c d e\r\n", "a b - 3\r\nabcd\r\n", "a b - x\r\n", "a b\n", "a  b\r\n"}) {
    parse_cut<hosts::LineParser, hosts::Reply>(random, bad, valid);
    CHECK_FALSE(valid);
  }
  parse_cut<hosts::LineParser, hosts::Reply>(random, std::string(3000, 'a'), valid);
  CHECK_FALSE(valid);
}

TEST_CASE("AMQP frames, properties and tables are read as written, in pieces of any size") {
  Random random(4);
  for (int round = 0; round < kRounds; ++round) {
    std::string bytes;
    amqp::BasicProperties p;
    p.message_id = random_bytes(random, 255);
    p.reply_to = "answers";
    p.delivery_mode = 2;
    p.headers = {{"text", random_bytes(random, 200)},
                 {"whole", std::int64_t(random())},
                 {"flag", true},
                 {"real", 0.5}};
    const std::string header = amqp::encode_content_header(random() >> 1, p),
                      body = random_bytes(random, 900);
    bytes += amqp::encode_frame(amqp::FrameType::header, 1, header) +
             amqp::encode_frame(amqp::FrameType::body, 1, body);
    bytes += amqp::encode_frame(amqp::FrameType::heartbeat, 0, {});
    bool valid = false;
    const auto frames = parse_cut<amqp::FrameParser, amqp::Frame>(random, bytes, valid);
    REQUIRE(frames.size() == 3);
    CHECK((valid && frames[1].payload == body && frames[1].channel == 1));
    const auto read = amqp::decode_content_header(frames[0].payload);
    REQUIRE(read);
    CHECK(read->properties.message_id == p.message_id);
    CHECK(read->properties.headers == p.headers);
  }
}

// Expects bytes taken from the specification, so that an error common to writer and reader is found.
TEST_CASE("AMQP encodings match the bytes of the specification") {
  using namespace std::string_literals;
  CHECK(amqp::encode_frame(amqp::FrameType::heartbeat, 0, {}) == "\x08\0\0\0\0\0\0\xCE"s);
  CHECK(amqp::encode_frame(amqp::FrameType::method, 1, "\0\x3C\0\x50"s) ==
        "\x01\0\x01\0\0\0\x04\0\x3C\0\x50\xCE"s);
  CHECK(amqp::ArgumentWriter().table({{"a", true}}).bytes() == "\0\0\0\x04\x01"s + "at\x01"s);
  amqp::BasicProperties p;
  p.correlation_id = "c";
  p.delivery_mode = 2;
  CHECK(amqp::encode_content_header(5, p) == "\0\x3C\0\0\0\0\0\0\0\0\0\x05\x14\0\x02\x01"s + "c"s);
  const std::string items = "\x01sS\0\0\0\x02hi\x01nI\xFF\xFF\xFF\xFE\x01vV"s;
  const std::string bytes = "\0\0\0"s + static_cast<char>(items.size()) + items;
  amqp::ArgumentReader table(bytes);
  CHECK(table.table() == amqp::FieldTable{{"s", "hi"s}, {"n", std::int64_t{-2}}, {"v", std::monostate()}});
}

TEST_CASE("random bytes end a stream or are skipped; they never end the process") {
  Random random(5);
  bool valid = false;
  for (int round = 0; round < 20 * kRounds; ++round) {
    parse_cut<resp::Parser, resp::Words>(random, garbage(random, "*$1230\r\n"), valid);
    parse_cut<hosts::LineParser, hosts::Reply>(random, garbage(random, "ab =-1 20\r\n"), valid);
    parse_cut<amqp::FrameParser, amqp::Frame>(random, garbage(random, std::string("\1\2\3\0\0\0\1\xCE", 8)),
                                              valid);
    parse_cut<feed::LineSplitter, std::string>(random, garbage(random, "{}[]\":1,\n"), valid);
    amqp::decode_content_header(std::string("\0\x3C\0\0", 4) +
                                garbage(random, std::string("\0\1FAStx\xFF", 8)));
    const std::string garbage_bytes = garbage(random, std::string("\0\0\0\1FAStx", 9));
    amqp::ArgumentReader reader(garbage_bytes);
    reader.table();
    net::parse_fields(garbage(random, "a=b,;:"));
    feed::EventSequence log;
    core::MemberList list;
    log.read_line(R"({"seq":1,"fleet":{"members":[)" + garbage(random, "{}\"id:,") + "]}}", list);
  }
}

TEST_CASE("events of the membership log are read once and in order") {
  const auto event = [](int seq) {
    return R"({"seq":)" + std::to_string(seq) +
           R"(,"fleet":{"complete":false,"members":[{"id":"s","host_port":"127.0.0.1:9",)"
           R"("phase":"draining","up_since_ms":5}]}})";
  };
  feed::EventSequence log(3);
  core::MemberList list;
  CHECK(log.read_line(event(4), list) == feed::EventSequence::Result::update);
  REQUIRE(list.members.size() == 1);
  CHECK(list.members[0].entry.state == core::WorkerState::draining);
  CHECK(list.members[0].entry.started == Millis(5));
  CHECK(log.read_line(event(4), list) == feed::EventSequence::Result::no_update);
  CHECK(log.read_line("4", list) == feed::EventSequence::Result::up_to_date);
  CHECK(log.read_line("3", list) == feed::EventSequence::Result::no_update);
  CHECK(log.read_line("6", list) == feed::EventSequence::Result::gap);
  // The sequence number may be the only key of an object.
  CHECK(log.read_line(R"({"seq":4})", list) == feed::EventSequence::Result::up_to_date);
  CHECK(log.read_line(R"({"seq":3})", list) == feed::EventSequence::Result::no_update);
  CHECK(log.read_line(R"({"seq":5})", list) == feed::EventSequence::Result::gap);
  CHECK(log.last() == 4);
  CHECK(log.read_line(event(6), list) == feed::EventSequence::Result::gap);
  CHECK(log.read_line("{", list) == feed::EventSequence::Result::malformed);
  for (const char* bad :
       {R"({"fleet":{"members":[]}})", R"({"seq":5,"fleet":7})", R"({"seq":5,"fleet":{"members":{}}})",
        R"({"seq":5,"fleet":{"members":[7]}})", R"({"seq":5,"fleet":{"members":[{"id":"s"}]}})"}) {
    CHECK(log.read_line(bad, list) == feed::EventSequence::Result::malformed);
  }
  CHECK(log.last() == 4);
  CHECK(log.read_line(R"({"seq":5,"tariff":{}})", list) == feed::EventSequence::Result::no_update);
  CHECK(log.read_line(R"({"seq":9,"fleet":{"complete":true,"members":[]}})", list) ==
        feed::EventSequence::Result::update);
  CHECK(log.last() == 9);
}

}  // namespace
}  // namespace pathstack::test
