#include "dispatch/scale_out_requests.h"

#include <gtest/gtest.h>

namespace sumacquay {
namespace {

const OfferingKey kOffering{"g", "e", false};

TEST(ScaleOutRequests, RequestNamesAreUniqueWithinAndAcrossTerms) {
  ScaleOutRequests requests(7);
  ScaleOutRequests requests_of_next_term(8);
  const ScaleOut first = requests.create(kOffering, 2);
  const ScaleOut second = requests.create(kOffering, 2);
  EXPECT_NE(first.request_name, second.request_name);
  EXPECT_NE(first.request_name, requests_of_next_term.create(kOffering, 2).request_name);
  EXPECT_EQ(first.type, "g");
  EXPECT_EQ(first.zone, "e");
  EXPECT_EQ(first.count, 2);
}

TEST(ScaleOutRequests, RetriesRequestOfUnknownOutcomeUnderItsName) {
  ScaleOutRequests requests(1);
  const ScaleOut scale_out = requests.create(kOffering, 1);
  EXPECT_TRUE(requests.due_for_retry(1e6).empty()) << "the request is in flight";
  requests.retry_after(scale_out, 100, 2);
  EXPECT_TRUE(requests.due_for_retry(101).empty());
  const auto due = requests.due_for_retry(102);
  ASSERT_EQ(due.size(), 1u);
  EXPECT_EQ(due[0].request_name, scale_out.request_name);
  EXPECT_TRUE(requests.due_for_retry(1e6).empty()) << "each retry is due once";
  EXPECT_TRUE(requests.any_in_flight());
  EXPECT_TRUE(requests.complete(scale_out, 1, 110));
  EXPECT_FALSE(requests.any_in_flight());
  EXPECT_FALSE(requests.complete(scale_out, 1, 111)) << "the answer to a retry";
}

TEST(ScaleOutRequests, RefusalsBackOffOnlyTheirOfferingUpToALimit) {
  ScaleOutRequests requests(1);
  Seconds now = 100;
  for (const Seconds backoff : {5, 10, 20, 40, 80, 80}) {
    EXPECT_FALSE(requests.backing_off(kOffering, now));
    requests.complete(requests.create(kOffering, 1), 0, now);
    EXPECT_TRUE(requests.backing_off(kOffering, now + backoff - 0.1)) << backoff;
    EXPECT_FALSE(requests.backing_off({"g", "w", false}, now));
    EXPECT_FALSE(requests.backing_off({"g", "e", true}, now));
    now += backoff;
  }
}

TEST(ScaleOutRequests, PartialGrantCountsAsRefusalAndFullGrantResetsBackoff) {
  ScaleOutRequests requests(1);
  requests.complete(requests.create(kOffering, 3), 2, 100);
  EXPECT_TRUE(requests.backing_off(kOffering, 104));
  requests.complete(requests.create(kOffering, 3), 3, 105);
  EXPECT_FALSE(requests.backing_off(kOffering, 105));
  requests.complete(requests.create(kOffering, 3), 0, 110);
  EXPECT_TRUE(requests.backing_off(kOffering, 114));
  EXPECT_FALSE(requests.backing_off(kOffering, 115))
      << "the backoff starts from its first step again";
}

}  // namespace
}  // namespace sumacquay
