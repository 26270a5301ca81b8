#include "dispatch/arrival_forecast.h"

#include <gtest/gtest.h>

namespace sumacquay {
namespace {

constexpr Seconds kBoot = 100;

JobSpec spec(const std::string& job_class, JobKind kind, uint32_t tasks, bool spot = false) {
  JobSpec out;
  out.job_class = job_class;
  out.kind = kind;
  out.tasks = tasks;
  out.spot = spot;
  return out;
}

TEST(ArrivalForecast, NothingIsExpectedWhereNothingArrived) {
  EXPECT_TRUE(ArrivalForecast().expected(1).empty());
}

TEST(ArrivalForecast, ServicesAreExpectedAtTheirMeanRateAndADeviation) {
  ArrivalForecast forecast;
  for (int i = 0; i < 5; ++i) forecast.add(spec("web", JobKind::Service, 4), 1000);
  const auto expected = forecast.expected(1);
  ASSERT_EQ(expected.size(), 1u);
  EXPECT_EQ(expected[0].job_class, "web");
  EXPECT_EQ(expected[0].tasks, 6u) << "20 tasks in five boot times: 4, and its root";
  EXPECT_EQ(forecast.expected(0.5).at(0).tasks, 3u);
  EXPECT_TRUE(forecast.expected(0).empty());
}

TEST(ArrivalForecast, OneArrayIsExpectedAtATimeIfItMayUseSpotMachines) {
  ArrivalForecast forecast;
  forecast.add(spec("batch", JobKind::Array, 10, true), 1000);
  forecast.add(spec("batch", JobKind::Array, 30, true), 1001);
  forecast.add(spec("paid", JobKind::Array, 30, false), 1000);
  forecast.add(spec("train", JobKind::Gang, 8, true), 1000);
  const auto expected = forecast.expected(1);
  ASSERT_EQ(expected.size(), 1u) << "neither arrays of rented machines nor gangs";
  EXPECT_EQ(expected[0].job_class, "batch");
  EXPECT_EQ(expected[0].tasks, 20u);
  EXPECT_EQ(expected[0].kind, JobKind::Service) << "a part of it is worth placing";
}

TEST(ArrivalForecast, ArrivalsAreForgottenAfterFiveBootTimes) {
  ArrivalForecast forecast;
  forecast.add(spec("web", JobKind::Service, 5), 1000);
  forecast.forget_old(1000 + 5 * kBoot, kBoot);
  EXPECT_EQ(forecast.expected(1).at(0).tasks, 2u);
  forecast.forget_old(1000 + 5 * kBoot + 1, kBoot);
  EXPECT_TRUE(forecast.expected(1).empty());
}

TEST(ArrivalForecast, DemandsHaveEveryTaskOfTheirSpecs) {
  const std::vector<JobSpec> specs{spec("web", JobKind::Service, 3)};
  const auto placement_requests = placement_requests_for(specs);
  ASSERT_EQ(placement_requests.size(), 1u);
  EXPECT_EQ(placement_requests[0].spec, specs.data());
  EXPECT_EQ(placement_requests[0].tasks, (std::vector<uint32_t>{0, 1, 2}));
}

}  // namespace
}  // namespace sumacquay
