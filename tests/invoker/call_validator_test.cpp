// Which calls the validator rejects, and for which reason.
#include "core/call_validator.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <limits>

#include "support/call.h"
#include "support/settings.h"

namespace pathstack::test {
namespace {

using core::Counter;

// Settings with one tenant and one kind of host with 3,456 MB.
core::Settings strict_settings() {
  core::Settings s = settings();
  s.tenants.push_back({"redgum-estate", 1, 100});
  s.kind_memory_mb["std-2c"] = 3456;
  return s;
}

core::Call valid_call() {
  core::Call call = call_of("000000000000000a");
  call.tenant = "redgum-estate";
  call.client_timeout = Millis(1000);
  return call;
}

TEST_CASE("a call within all limits is valid, with or without a tenant") {
  const core::CallValidator validator(strict_settings());
  core::Call call = valid_call();
  CHECK(validator.find_fault(call) == std::nullopt);
  call.tenant.clear();
  CHECK(validator.find_fault(call) == std::nullopt);
}

TEST_CASE("an unknown class is reported before any other fault") {
  core::Call call = valid_call();
  call.class_name = "bin-chuck";
  call.tenant = "nobody";
  call.concurrency = 0;
  CHECK(core::CallValidator(strict_settings()).find_fault(call) == Counter::calls_unknown_class);
}

TEST_CASE("an unknown tenant is a fault only if the settings name tenants") {
  core::Call call = valid_call();
  call.tenant = "nobody";
  CHECK(core::CallValidator(strict_settings()).find_fault(call) == Counter::calls_unknown_tenant);
  core::Settings without_tenants = strict_settings();
  without_tenants.tenants.clear();
  CHECK(core::CallValidator(without_tenants).find_fault(call) == std::nullopt);
}

TEST_CASE("memory must be a number between zero and the memory of the largest kind of host") {
  const core::CallValidator validator(strict_settings());
  core::Call call = valid_call();
  for (const double valid : {0.0, 300.0, 3456.0}) {
    call.memory_mb = valid;
    CHECK(validator.find_fault(call) == std::nullopt);
  }
  for (const double invalid : {-1.0, 3456.5, std::nan(""), std::numeric_limits<double>::infinity()}) {
    call.memory_mb = invalid;
    CHECK(validator.find_fault(call) == Counter::calls_bad_figures);
  }
}

TEST_CASE("if the memory of hosts is not stated, a call may need up to a million megabytes") {
  core::Settings s = strict_settings();
  s.kind_memory_mb.clear();
  const bool kind_without_memory = GENERATE(false, true);
  if (kind_without_memory) s.kind_memory_mb["std"] = 0;
  const core::CallValidator validator(s);
  core::Call call = valid_call();
  call.memory_mb = 1e6;
  CHECK(validator.find_fault(call) == std::nullopt);
  call.memory_mb = 1e6 + 1;
  CHECK(validator.find_fault(call) == Counter::calls_bad_figures);
}

TEST_CASE("an instance has from 1 to 1,024 concurrency slots") {
  const core::CallValidator validator(strict_settings());
  core::Call call = valid_call();
  for (const int valid : {1, 1024}) {
    call.concurrency = valid;
    CHECK(validator.find_fault(call) == std::nullopt);
  }
  for (const int invalid : {-1, 0, 1025}) {
    call.concurrency = invalid;
    CHECK(validator.find_fault(call) == Counter::calls_bad_figures);
  }
}

TEST_CASE("a client timeout must be positive, and at most 50 ms longer than the deadline of the class") {
  const core::Settings s = strict_settings();
  const core::CallValidator validator(s);
  core::Call call = valid_call();
  const Millis deadline{1500};
  for (const Millis valid : {Millis(0.5), deadline, deadline + Millis(50)}) {
    call.client_timeout = valid;
    CHECK(validator.find_fault(call) == std::nullopt);
  }
  for (const Millis invalid : {Millis(-1), Millis(0), deadline + Millis(51)}) {
    call.client_timeout = invalid;
    CHECK(validator.find_fault(call) == Counter::calls_bad_figures);
  }
}

}  // namespace
}  // namespace pathstack::test
