/// End-to-end fixture for calls from a message broker: stand-in broker, AMQP front, core and stand-in hosts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "amqp/front.h"
#include "support/stand_in_broker.h"
#include "support/world.h"

namespace pathstack::test {

/// An AMQP front that consumes the queue `calls` of a stand-in broker. All parts share one event loop.
class AmqpFixture {
 public:
  explicit AmqpFixture(std::size_t hosts, std::uint64_t seed = 1, amqp::Front::Limits limits = {},
                       const core::Settings& s = settings())
      : world(hosts, s), broker(world.loop, world.pool, seed) {
    amqp::BrokerSettings broker_settings;
    broker_settings.address = broker.server.address();
    broker_settings.queues = {"calls"};
    broker_settings.prefetch = 16;
    front = std::make_unique<amqp::Front>(world.loop, world.pool, world.dispatcher, world.counters, s,
                                          broker_settings, limits);
    front->start();
  }

  /// Runs the loop until the call with message id `id` has `times` answers. Returns false if the turn limit
  /// is reached first.
  bool run_until_answered(const std::string& id, std::size_t times = 1) {
    constexpr int max_turns = 20000;
    return world.turn_until([&] { return broker.answers_to(id).size() >= times; }, max_turns);
  }

  /// Runs the loop until the queue is empty, all deliveries are acknowledged and the front is done. Returns
  /// false if the turn limit is reached first.
  bool run_until_settled() {
    constexpr int max_turns = 200000;
    return world.turn_until([&] { return broker.queue.empty() && unacked() == 0 && front->done(); },
                            max_turns);
  }

  /// The number of unacknowledged deliveries over all connections.
  std::size_t unacked() const {
    std::size_t sum = 0;
    for (const auto& peer : broker.server.peers) sum += peer->unacked.size();
    return sum;
  }

  World world;
  StandInBroker broker;
  std::unique_ptr<amqp::Front> front;
};

}  // namespace pathstack::test
