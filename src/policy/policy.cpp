/// Implements Policy: creates an Engine at each Start event and destroys it at the next Start or Stop.
#include "pathstack/policy.h"

#include <algorithm>
#include <optional>

#include "policy/common.h"
#include "policy/engine.h"

namespace pathstack::policy {

class Policy::State {
 public:
  void handle(Millis now, const Event& event, std::vector<Action>& out) {
    now_ = std::max(now, now_);
    actions_.write_to(out);
    if (const auto* start = std::get_if<event::Start>(&event)) {
      engine_.emplace(start->settings, actions_);
    } else if (std::holds_alternative<event::Stop>(event)) {
      engine_.reset();
      now_ = kNever;
    } else if (engine_) {
      std::visit([this](const auto& e) { engine_->on(e, now_); }, event);
    }
  }

  std::map<std::string, double> statistics() const {
    std::map<std::string, double> counters = {{"now.run_ms", 0}, {"now.load_ms", 0}};
    if (engine_) engine_->add_counters(counters, now_);
    return counters;
  }

  std::size_t function_bytes() const { return engine_ ? engine_->function_bytes() : 0; }
  std::size_t bytes_to_add(std::uint64_t function) const {
    return engine_ ? engine_->bytes_to_add(function) : 0;
  }

 private:
  Millis now_{kNever};
  ActionSink actions_;
  std::optional<Engine> engine_;
};

Policy::Policy() : state_(std::make_unique<State>()) {}
Policy::~Policy() = default;
Policy::Policy(Policy&&) noexcept = default;
Policy& Policy::operator=(Policy&&) noexcept = default;
std::map<std::string, double> Policy::statistics() const { return state_->statistics(); }
std::size_t Policy::function_bytes() const { return state_->function_bytes(); }
std::size_t Policy::bytes_to_add(std::uint64_t function) const { return state_->bytes_to_add(function); }
void Policy::handle(Millis now, const Event& event, std::vector<Action>& out) {
  state_->handle(now, event, out);
}

}  // namespace pathstack::policy
