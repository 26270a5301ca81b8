#include "dispatch/arrival_forecast.h"

#include <gtest/gtest.h>

namespace sumacquay {
namespace {

constexpr Seconds kBootTime = 100;

JobSpec make_spec(const std::string& job_class, JobKind kind, uint32_t tasks, bool spot = false) {
  JobSpec job;
  job.job_class = job_class;
  job.kind = kind;
  job.tasks = tasks;
  job.spot = spot;
  return job;
}

TEST(ArrivalForecast, IsEmptyWithoutArrivals) {
  EXPECT_TRUE(ArrivalForecast().expected(1).empty());
}

TEST(ArrivalForecast, ForecastsServicesAtMeanRatePlusStandardDeviation) {
  ArrivalForecast forecast;
  for (int i = 0; i < 5; ++i) forecast.add(make_spec("web", JobKind::Service, 4), 1000);
  const auto expected = forecast.expected(1);
  ASSERT_EQ(expected.size(), 1u);
  EXPECT_EQ(expected[0].job_class, "web");
  EXPECT_EQ(expected[0].tasks, 6u)
      << "20 tasks in five boot times: a mean of 4 and a standard deviation of 2";
  EXPECT_EQ(forecast.expected(0.5).at(0).tasks, 3u);
  EXPECT_TRUE(forecast.expected(0).empty());
}

TEST(ArrivalForecast, ForecastsOneArrayOfMeanSizeIfSpotIsAllowed) {
  ArrivalForecast forecast;
  forecast.add(make_spec("batch", JobKind::Array, 10, true), 1000);
  forecast.add(make_spec("batch", JobKind::Array, 30, true), 1001);
  forecast.add(make_spec("paid", JobKind::Array, 30, false), 1000);
  forecast.add(make_spec("train", JobKind::Gang, 8, true), 1000);
  const auto expected = forecast.expected(1);
  ASSERT_EQ(expected.size(), 1u) << "no arrays that need on-demand machines, and no gangs";
  EXPECT_EQ(expected[0].job_class, "batch");
  EXPECT_EQ(expected[0].tasks, 20u);
  EXPECT_EQ(expected[0].kind, JobKind::Service)
      << "an array is useful even if only a part of it is placed";
}

TEST(ArrivalForecast, DropsArrivalsAfterFiveBootTimes) {
  ArrivalForecast forecast;
  forecast.add(make_spec("web", JobKind::Service, 5), 1000);
  forecast.drop_old_arrivals(1000 + 5 * kBootTime, kBootTime);
  EXPECT_EQ(forecast.expected(1).at(0).tasks, 2u);
  forecast.drop_old_arrivals(1000 + 5 * kBootTime + 1, kBootTime);
  EXPECT_TRUE(forecast.expected(1).empty());
}

TEST(ArrivalForecast, PlacementRequestsContainEveryTaskOfTheirSpecs) {
  const std::vector<JobSpec> specs{make_spec("web", JobKind::Service, 3)};
  const auto placement_requests = placement_requests_for(specs);
  ASSERT_EQ(placement_requests.size(), 1u);
  EXPECT_EQ(placement_requests[0].spec, specs.data());
  EXPECT_EQ(placement_requests[0].tasks, (std::vector<uint32_t>{0, 1, 2}));
}

}  // namespace
}  // namespace sumacquay
