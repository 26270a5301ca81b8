#pragma once
#include <rapidcheck.h>

#include <set>

#include "jobs/record.h"

namespace sumacquay::testing {

/// Whether the property holds. The seed is fixed, so that results are reproducible; a
/// counterexample is printed.
template <class F>
bool holds(const char* what, F&& property, int times = 200) {
  rc::detail::TestParams params;
  params.seed = 20260801;
  params.maxSuccess = times;
  rc::detail::TestMetadata metadata;
  metadata.description = what;
  const auto result = rc::detail::checkTestable(std::forward<F>(property), metadata, params);
  if (result.template is<rc::detail::SuccessResult>()) return true;
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  std::cerr << what << ": " << text.str() << "\n";
  return false;
}

inline rc::Gen<std::string> name() {
  return rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
}

inline rc::Gen<JobSpec> job_spec() {
  return rc::gen::exec([] {
    JobSpec s;
    s.id = "job-" + std::to_string(*rc::gen::inRange(0, 1000000));
    s.job_class = *name();
    s.team = *name();
    s.image = *name();
    s.kind = *rc::gen::element(JobKind::Array, JobKind::Gang, JobKind::Service);
    s.priority =
        *rc::gen::element(Priority::Low, Priority::Normal, Priority::High, Priority::Production);
    s.tasks = static_cast<uint32_t>(*rc::gen::inRange(1, 100001));
    s.request = {*rc::gen::inRange(0, 96) * 0.5, *rc::gen::inRange(0, 9) * 1.0,
                 *rc::gen::inRange(0, 300) * 1.0};
    s.image_gb = *rc::gen::inRange(0, 100) * 0.1;
    if (*rc::gen::arbitrary<bool>())
      s.types = *rc::gen::container<std::vector<std::string>>(name());
    if (s.types && s.types->size() > 64) s.types->resize(64);
    if (*rc::gen::arbitrary<bool>()) s.zone = *name();
    s.one_zone = *rc::gen::arbitrary<bool>();
    s.spread = *rc::gen::arbitrary<bool>();
    s.spot = *rc::gen::arbitrary<bool>();
    s.estimate_s = *rc::gen::inRange(0, 1000) * 1.0;
    s.checkpoint_interval_s = *rc::gen::inRange(0, 100) * 1.0;
    s.checkpoint_duration_s = *rc::gen::inRange(0, 10) * 1.0;
    if (*rc::gen::arbitrary<bool>()) s.deadline_s = *rc::gen::inRange(0, 1000) * 1.0;
    const auto dependencies = *rc::gen::container<std::set<int>>(rc::gen::inRange(0, 1000));
    for (int number : dependencies) s.dependencies.push_back("job-" + std::to_string(number));
    return s;
  });
}

}  // namespace sumacquay::testing
