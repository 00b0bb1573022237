/// The AMQP 0-9-1 methods that this client uses, named as in the specification.
#pragma once

#include <cstdint>

namespace pathstack::amqp {

/// Combines a class id and a method id as encoded at the start of a method frame (AMQP 0-9-1, 2.3.5.1).
constexpr std::uint32_t method_code(std::uint32_t class_id, std::uint32_t method_id) {
  return class_id << 16 | method_id;
}

/// Method codes. A value read from the wire may be none of those listed, as a broker may send any method.
enum class Method : std::uint32_t {
  connection_start = method_code(10, 10),
  connection_start_ok = method_code(10, 11),
  connection_tune = method_code(10, 30),
  connection_tune_ok = method_code(10, 31),
  connection_open = method_code(10, 40),
  connection_open_ok = method_code(10, 41),
  connection_close = method_code(10, 50),
  connection_close_ok = method_code(10, 51),
  channel_open = method_code(20, 10),
  channel_open_ok = method_code(20, 11),
  channel_flow = method_code(20, 20),
  channel_flow_ok = method_code(20, 21),
  channel_close = method_code(20, 40),
  channel_close_ok = method_code(20, 41),
  basic_qos = method_code(60, 10),
  basic_qos_ok = method_code(60, 11),
  basic_consume = method_code(60, 20),
  basic_consume_ok = method_code(60, 21),
  basic_cancel = method_code(60, 30),
  basic_cancel_ok = method_code(60, 31),
  basic_publish = method_code(60, 40),
  basic_return = method_code(60, 50),
  basic_deliver = method_code(60, 60),
  basic_ack = method_code(60, 80),
  basic_reject = method_code(60, 90),
  basic_nack = method_code(60, 120),
  confirm_select = method_code(85, 10),
  confirm_select_ok = method_code(85, 11),
};

}  // namespace pathstack::amqp
