// End-to-end tests of the AMQP front: stand-in broker, core, decision module and stand-in hosts.
#include "triggers.h"

#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <sstream>

#include "triggers_chaos.h"

namespace pathstack::test {
namespace {

using Kind = Reaction::Kind;

TEST_CASE(
    "AMQP: a delivery is served with its body unchanged, and acknowledged once the answer is confirmed") {
  AmqpFixture fixture(2);
  const std::string body = std::string("bin\0\r\n\xCE", 7) + std::string(9000, 'x');
  fixture.broker.send("a", "bin-record", body);
  REQUIRE(fixture.run_until_answered("a"));
  const auto& answer = fixture.broker.answers_to("a")[0];
  CHECK(status_of(answer) == "OK");
  CHECK(answer.body == body);
  CHECK(answer.properties.message_id == "a");
  REQUIRE(fixture.run_until_settled());
  CHECK(fixture.broker.acked == 1);
}

std::string hex_of(std::string_view bytes) {
  std::ostringstream out;
  for (const char c : bytes) {
    out << std::hex << std::setw(2) << std::setfill('0')
        << static_cast<unsigned>(static_cast<std::uint8_t>(c));
  }
  return out.str();
}

// Returns the protocol header, then each frame with its header and end octet.
std::vector<std::string> frames_in_hex(std::string_view bytes) {
  constexpr std::size_t protocol_header_size = 8, frame_header_size = 7;
  std::vector<std::string> out = {hex_of(bytes.substr(0, protocol_header_size))};
  bytes.remove_prefix(std::min(protocol_header_size, bytes.size()));
  while (bytes.size() > frame_header_size) {
    const std::size_t payload = amqp::ArgumentReader(bytes.substr(3, 4)).u32();
    const std::string_view frame = bytes.substr(0, frame_header_size + payload + 1);
    out.push_back(hex_of(frame));
    bytes.remove_prefix(frame.size());
  }
  return out;
}

// Guards against unnoticed changes on the wire. Brokers show the product name and the consumer tags, and
// operators match them.
TEST_CASE("AMQP: the frames sent in a session match the expected bytes") {
  AmqpFixture fixture(1);
  fixture.broker.send("a", "bin-check", "x");
  REQUIRE(fixture.run_until_answered("a"));
  fixture.broker.enqueue({{}, "no reply queue", false});
  REQUIRE(fixture.world.turn_until([&] { return fixture.broker.rejected == 1; }, 20000));
  REQUIRE(fixture.run_until_settled());
  fixture.front->drain();
  fixture.front->close();
  REQUIRE(fixture.world.turn_until(
      [&] { return fixture.world.counters.value(core::Counter::amqp_down) == 1; }, 20000));
  const std::vector<std::string> expected = {
      "414d515000000901",  // the protocol header
      // connection.start-ok, with the product name "lotusyard"
      ("0100000000003a000a000b000000160770726f6475637453000000096c6f747573796172640"
       "5504c41494e0000000c00677565737400677565737405656e5f5553ce"),
      "0100000000000c000a001f000a00001000000ace",                                    // connection.tune-ok
      "01000000000008000a0028012f0000ce",                                            // connection.open
      "08000000000000ce",                                                            // heartbeat
      "010001000000050014000a00ce",                                                  // channel.open
      "010001000000050055000a00ce",                                                  // confirm.select
      "0100010000000b003c000a00000000001000ce",                                      // basic.qos
      "0100010000001d003c001400000563616c6c730b6c6f747573796172642d300000000000ce",  // basic.consume
      "01000100000010003c002800000007616e737765727301ce",                            // basic.publish
      // content header, then body
      ("0200010000003e003c00000000000000000001b480186170706c69636174696f6e2f6f63746"
       "5742d73747265616d0000000c04776f726453000000024f4b0203632d610161ce"),
      "0300010000000178ce",
      "0100010000000d003c0050000000000000000100ce",           // basic.ack
      "0100010000000d003c005a000000000000000200ce",           // basic.reject
      "01000100000011003c001e0b6c6f747573796172642d3000ce",   // basic.cancel
      "01000000000012000a003200c807676f6f6462796500000000ce"  // connection.close
  };
  CHECK(frames_in_hex(fixture.broker.received_bytes) == expected);
}

TEST_CASE("AMQP: a nacked answer is published again, and its delivery is acknowledged only then") {
  AmqpFixture fixture(1);
  fixture.broker.faults.nack = 1000;
  fixture.broker.send("a", "bin-check", "x");
  REQUIRE(fixture.world.turn_until(
      [&] { return fixture.world.counters.value(core::Counter::amqp_nacked) > 0; }, 20000));
  CHECK(fixture.broker.acked == 0);
  fixture.broker.faults.nack = 0;
  REQUIRE(fixture.run_until_settled());
  CHECK(fixture.broker.acked == 1);
  CHECK(fixture.broker.answers.size() == 1);
}

TEST_CASE("AMQP: the answer's status follows from the host's reply") {
  AmqpFixture fixture(2);
  std::string word = "failed";
  for (auto& h : fixture.world.host) {
    h->react = [&](const std::string&) { return Reaction{word.empty() ? Kind::silence : Kind::reply, word}; };
  }
  SECTION("an at-most-once call whose host replies `failed` may have run: failed, not retried") {
    fixture.broker.send("a", "bin-record", "x");
    REQUIRE(fixture.run_until_answered("a"));
    CHECK(status_of(fixture.broker.answers_to("a")[0]) == "FAILED");
    CHECK(fixture.world.host[0]->execs + fixture.world.host[1]->execs == 1);
  }
  SECTION("all hosts reply `full`, so the call never ran: refused") {
    word = "full";
    fixture.broker.send("a", "bin-record", "x");
    REQUIRE(fixture.run_until_answered("a"));
    CHECK(status_of(fixture.broker.answers_to("a")[0]) == "BUSY");
    CHECK(std::get<std::int64_t>(fixture.broker.answers_to("a")[0].properties.headers.at("cooldown")) > 0);
    CHECK(fixture.world.host[0]->runs.empty());
  }
  SECTION("a host that does not reply: failed at the call's own deadline") {
    word.clear();
    fixture.broker.send("a", "bin-record", "x", {{"allow", std::int64_t{200}}});
    REQUIRE(fixture.run_until_answered("a"));
    CHECK(status_of(fixture.broker.answers_to("a")[0]) == "FAILED");
    CHECK(fixture.world.host[0]->cancels + fixture.world.host[1]->cancels <= 1);
  }
}

TEST_CASE("AMQP: a malformed delivery is answered as failed, or rejected if it has no reply address") {
  AmqpFixture fixture(1);
  fixture.broker.send("noclass", "no-such-class", "x");
  fixture.broker.send("badkey", "bin-check", "x", {{"lookup", std::string("zz")}});
  fixture.broker.send("badallow", "bin-check", "x", {{"allow", std::int64_t{-1}}});
  fixture.broker.send("big", "bin-check", std::string(20000, 'x'));
  fixture.broker.enqueue({{}, "no way to answer", false});
  REQUIRE(
      fixture.world.turn_until([&] { return fixture.broker.acked + fixture.broker.rejected == 5; }, 20000));
  CHECK(fixture.broker.rejected == 1);
  for (const char* id : {"noclass", "badkey", "badallow", "big"}) {
    REQUIRE(fixture.broker.answers_to(id).size() == 1);
    CHECK(status_of(fixture.broker.answers_to(id)[0]) == "FAILED");
  }
  CHECK(fixture.world.host[0]->execs == 0);
}

TEST_CASE("AMQP: a redelivered at-most-once call that is not in the cache is failed, not run") {
  AmqpFixture fixture(1);
  StandInBroker::Message m;
  fixture.broker.send("fresh", "bin-check", "x");
  REQUIRE(fixture.run_until_answered("fresh"));
  m.properties = fixture.broker.answers[0].properties;
  m.properties.message_id = "old";
  m.properties.correlation_id = "c-old";
  m.properties.reply_to = "answers";
  m.properties.headers = {{"class", std::string("bin-record")}, {"lookup", std::string("00000000000000a1")}};
  m.redelivered = true;
  fixture.broker.enqueue(std::move(m));
  REQUIRE(fixture.run_until_answered("old"));
  CHECK(status_of(fixture.broker.answers_to("old")[0]) == "FAILED");
  CHECK(fixture.world.host[0]->execs == 1);
}

TEST_CASE("AMQP: after a connection loss the running call runs once and its redelivery gets the answer") {
  AmqpFixture fixture(1);
  bool running = false;
  fixture.world.host[0]->react = [&](const std::string&) {
    running = true;
    fixture.broker.drop_connections();  // the connection is lost while the host runs the call
    return Reaction();
  };
  fixture.broker.send("a", "bin-record", "x");
  REQUIRE(fixture.run_until_answered("a"));
  REQUIRE(fixture.run_until_settled());
  CHECK(running);
  CHECK(fixture.world.host[0]->runs["x"] == 1);
  CHECK(fixture.broker.answers_to("a").size() == 1);
  CHECK(status_of(fixture.broker.answers_to("a")[0]) == "OK");
}

/// Returns a redelivery of the call whose answer the broker received last.
StandInBroker::Message redelivery_of_last_call(const StandInBroker& broker) {
  StandInBroker::Message message;
  message.properties = broker.answers.back().properties;
  message.properties.reply_to = "answers";
  message.redelivered = true;
  return message;
}

TEST_CASE("AMQP: a confirmed answer is not published again when only the ack was lost") {
  AmqpFixture fixture(1);
  fixture.broker.send("a", "bin-record", "x");
  REQUIRE(fixture.run_until_answered("a"));
  REQUIRE(fixture.run_until_settled());
  fixture.broker.enqueue(redelivery_of_last_call(fixture.broker));
  REQUIRE(fixture.world.turn_until([&] { return fixture.broker.acked == 2; }, 20000));
  CHECK(fixture.broker.answers.size() == 1);
  CHECK(fixture.world.host[0]->execs == 1);
}

TEST_CASE("AMQP: a redelivery with another reply address gets the cached answer") {
  AmqpFixture fixture(1);
  fixture.broker.send("a", "bin-record", "x");
  REQUIRE(fixture.run_until_answered("a"));
  REQUIRE(fixture.run_until_settled());
  auto redelivery = redelivery_of_last_call(fixture.broker);
  redelivery.properties.correlation_id = "c-b";
  fixture.broker.enqueue(std::move(redelivery));
  REQUIRE(fixture.run_until_answered("b"));
  CHECK(fixture.broker.answers_to("b")[0].body == "x");
  CHECK(fixture.world.host[0]->execs == 1);
}

// Guards against withholding the answer to a client's retry while the preceding refusal is still unconfirmed;
// the answer was then sent only after a redelivery on the next connection.
TEST_CASE("AMQP: a retry after a refusal gets its own answer while the refusal is still unconfirmed") {
  AmqpFixture fixture(1);
  std::string word = "full";
  fixture.world.host[0]->react = [&](const std::string&) { return Reaction{Kind::reply, word}; };
  fixture.broker.withholds_confirms = true;
  fixture.broker.send("a", "bin-record", "x", {{"allow", std::int64_t{300}}});
  REQUIRE(fixture.run_until_answered("a"));
  CHECK(status_of(fixture.broker.answers_to("a")[0]) == "BUSY");
  word = "data";
  fixture.broker.send("a", "bin-record", "x");
  REQUIRE(fixture.run_until_answered("a", 2));
  CHECK(fixture.world.counters.value(core::Counter::amqp_down) ==
        0);  // on this channel, not by a redelivery on the next one
  CHECK(status_of(fixture.broker.answers_to("a")[1]) == "OK");
  CHECK(fixture.world.host[0]->runs["x"] == 1);
}

// Guards against a front that is told to drain during the handshake and starts consuming all the same.
TEST_CASE("AMQP: a front told to drain before its channel is up takes no calls") {
  AmqpFixture fixture(1);
  fixture.broker.send("a", "bin-record", "x");
  fixture.front->drain();
  REQUIRE(fixture.world.turn_until(
      [&] { return fixture.world.counters.value(core::Counter::amqp_down) == 1; }, 200));
  for (int i = 0; i < 20; ++i) fixture.world.turn();
  CHECK(fixture.world.host[0]->execs == 0);
  CHECK(fixture.broker.queue.size() == 1);
  CHECK(fixture.front->done());
}

TEST_CASE("AMQP: the front reconnects after a missing queue and after a silent broker") {
  AmqpFixture fixture(1);
  const bool silent = GENERATE(true, false);
  if (silent) {
    fixture.broker.heartbeat_s = 1;
  } else {
    fixture.broker.missing_queues = 2;
  }
  const core::Counter counter = silent ? core::Counter::amqp_quiet : core::Counter::amqp_channel_closed;
  REQUIRE(fixture.world.turn_until([&] { return fixture.world.counters.value(counter) > 0; }, 20000));
  fixture.broker.heartbeat_s = 0;
  // The call is sent only after the old connection has ended on both sides: a message delivered on the old
  // connection would be redelivered, and an at-most-once call does not run on a redelivery.
  const std::uint64_t expected_connections = silent ? 2 : 1;
  const auto reconnected = [&] {
    return fixture.world.counters.value(core::Counter::amqp_up) >= expected_connections &&
           fixture.broker.server.peers.size() == 1;
  };
  REQUIRE(fixture.world.turn_until(reconnected, 20000));
  fixture.broker.send("a", "bin-record", "x");
  REQUIRE(fixture.run_until_answered("a"));
  CHECK(status_of(fixture.broker.answers_to("a")[0]) == "OK");
  CHECK(fixture.world.host[0]->runs["x"] == 1);
}

TEST_CASE("AMQP: the idempotency cache is bounded and evicts the least recently completed call") {
  amqp::IdempotencyCache cache(3, 1U << 20);
  for (const char* id : {"a", "b", "c", "d"}) {
    cache.start(id, true);
    cache.complete(id, {core::CallStatus::served, Millis(0), "x"});
  }
  cache.start("runs", true);
  CHECK(cache.find("a") == nullptr);
  CHECK(cache.find("b") != nullptr);
  CHECK(cache.size() == 4);
  CHECK(cache.running_count() == 1);
  amqp::IdempotencyCache small(100, 4000);
  for (int i = 0; i < 20; ++i) {
    small.start(std::to_string(i), true);
    small.complete(std::to_string(i), {core::CallStatus::served, Millis(0), std::string(500, 'x')});
  }
  CHECK(small.size() <= 4);
  CHECK(small.find("19") != nullptr);
}

TEST_CASE(
    "AMQP: with drops, redeliveries and reordering no at-most-once call runs twice and no answer is lost") {
  for (const std::uint64_t seed : {3, 4}) {
    const ChaosTally tally = ChaosRun(seed, {150}).run();
    INFO(tally);
    CHECK(tally.clean());
    CHECK(tally.sent == 150);
    CHECK(tally.served > 0);
    CHECK(tally.connections_dropped > 0);
    CHECK(tally.hosts_drained > 0);
  }
}

// The long run, excluded from the default run: pathstack_tests "[soak]". Takes PATHSTACK_SOAK_S seconds
// (default 600).
TEST_CASE("ten minutes of AMQP calls with drops, redeliveries and reordering", "[.soak]") {
  const char* const setting = std::getenv("PATHSTACK_SOAK_S");
  const double seconds = setting == nullptr ? 600 : std::atof(setting);
  const ChaosTally tally = ChaosRun(5, {SIZE_MAX, Millis(seconds * 1000)}).run();
  std::cout << tally << std::endl;
  CHECK(tally.clean());
}

}  // namespace
}  // namespace pathstack::test
