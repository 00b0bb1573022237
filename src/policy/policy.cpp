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
void Policy::handle(Millis now, const Event& event, std::vector<Action>& out) {
  state_->handle(now, event, out);
}

}  // namespace pathstack::policy
