#include "dispatch/rental_requests.h"

#include <gtest/gtest.h>

namespace sumacquay {
namespace {

const OfferKey kOffer{"g", "e", false};

TEST(RentalRequests, EachRequestHasItsOwnNameInItsOwnTerm) {
  RentalRequests requests(7);
  RentalRequests next_leaders(8);
  const Rent first = requests.open(kOffer, 2);
  const Rent second = requests.open(kOffer, 2);
  EXPECT_NE(first.request, second.request);
  EXPECT_NE(first.request, next_leaders.open(kOffer, 2).request);
  EXPECT_EQ(first.type, "g");
  EXPECT_EQ(first.zone, "e");
  EXPECT_EQ(first.count, 2);
}

TEST(RentalRequests, OneOfUnknownOutcomeIsRepeatedUnderItsName) {
  RentalRequests requests(1);
  const Rent rent = requests.open(kOffer, 1);
  EXPECT_TRUE(requests.due_again(1e6).empty()) << "its answer is awaited";
  requests.repeat(rent, 100, 2);
  EXPECT_TRUE(requests.due_again(101).empty());
  const auto due = requests.due_again(102);
  ASSERT_EQ(due.size(), 1u);
  EXPECT_EQ(due[0].request, rent.request);
  EXPECT_TRUE(requests.due_again(1e6).empty()) << "once";
  EXPECT_TRUE(requests.any_open());
  EXPECT_TRUE(requests.settle(rent, 1, 110));
  EXPECT_FALSE(requests.any_open());
  EXPECT_FALSE(requests.settle(rent, 1, 111)) << "the answer to a repeat";
}

TEST(RentalRequests, RefusalsBackOffFromTheirOfferAloneUpToALimit) {
  RentalRequests requests(1);
  Seconds now = 100;
  for (const Seconds pause : {5, 10, 20, 40, 80, 80}) {
    EXPECT_FALSE(requests.backing_off(kOffer, now));
    requests.settle(requests.open(kOffer, 1), 0, now);
    EXPECT_TRUE(requests.backing_off(kOffer, now + pause - 0.1)) << pause;
    EXPECT_FALSE(requests.backing_off({"g", "w", false}, now));
    EXPECT_FALSE(requests.backing_off({"g", "e", true}, now));
    now += pause;
  }
}

TEST(RentalRequests, FewerThanAskedForAreARefusalAndAFilledRequestEndsTheRow) {
  RentalRequests requests(1);
  requests.settle(requests.open(kOffer, 3), 2, 100);
  EXPECT_TRUE(requests.backing_off(kOffer, 104));
  requests.settle(requests.open(kOffer, 3), 3, 105);
  EXPECT_FALSE(requests.backing_off(kOffer, 105));
  requests.settle(requests.open(kOffer, 3), 0, 110);
  EXPECT_TRUE(requests.backing_off(kOffer, 114));
  EXPECT_FALSE(requests.backing_off(kOffer, 115)) << "the first of a new row";
}

}  // namespace
}  // namespace sumacquay
