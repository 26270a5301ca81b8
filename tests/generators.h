#pragma once
#include <rapidcheck.h>

#include <set>

#include "jobs/record.h"

namespace sumacquay::testing {

/// Whether the property holds. The seed is fixed, so that results are reproducible; a
/// counterexample is printed.
template <class F>
bool check_property(const char* description, F&& property, int max_success = 200) {
  rc::detail::TestParams params;
  params.seed = 20260801;
  params.maxSuccess = max_success;
  rc::detail::TestMetadata metadata;
  metadata.description = description;
  const auto result = rc::detail::checkTestable(std::forward<F>(property), metadata, params);
  if (result.template is<rc::detail::SuccessResult>()) return true;
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  std::cerr << description << ": " << text.str() << "\n";
  return false;
}

inline rc::Gen<std::string> arbitrary_name() {
  return rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
}

inline rc::Gen<JobSpec> arbitrary_job_spec() {
  return rc::gen::exec([] {
    JobSpec spec;
    spec.id = "job-" + std::to_string(*rc::gen::inRange(0, 1000000));
    spec.job_class = *arbitrary_name();
    spec.team = *arbitrary_name();
    spec.image = *arbitrary_name();
    spec.kind = *rc::gen::element(JobKind::Array, JobKind::Gang, JobKind::Service);
    spec.priority =
        *rc::gen::element(Priority::Low, Priority::Normal, Priority::High, Priority::Production);
    spec.tasks = static_cast<uint32_t>(*rc::gen::inRange(1, 100001));
    spec.request = {*rc::gen::inRange(0, 96) * 0.5, *rc::gen::inRange(0, 9) * 1.0,
                    *rc::gen::inRange(0, 300) * 1.0};
    spec.image_gb = *rc::gen::inRange(0, 100) * 0.1;
    if (*rc::gen::arbitrary<bool>())
      spec.types = *rc::gen::container<std::vector<std::string>>(arbitrary_name());
    if (spec.types && spec.types->size() > 64) spec.types->resize(64);
    if (*rc::gen::arbitrary<bool>()) spec.zone = *arbitrary_name();
    spec.one_zone = *rc::gen::arbitrary<bool>();
    spec.spread = *rc::gen::arbitrary<bool>();
    spec.spot = *rc::gen::arbitrary<bool>();
    spec.estimate_s = *rc::gen::inRange(0, 1000) * 1.0;
    spec.checkpoint_interval_s = *rc::gen::inRange(0, 100) * 1.0;
    spec.checkpoint_duration_s = *rc::gen::inRange(0, 10) * 1.0;
    if (*rc::gen::arbitrary<bool>()) spec.deadline_s = *rc::gen::inRange(0, 1000) * 1.0;
    const auto dependencies = *rc::gen::container<std::set<int>>(rc::gen::inRange(0, 1000));
    for (int number : dependencies) spec.dependencies.push_back("job-" + std::to_string(number));
    return spec;
  });
}

}  // namespace sumacquay::testing
