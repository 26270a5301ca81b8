#include "dispatch/host_record_writes.h"

#include <gtest/gtest.h>

#include "fleet/machine.h"

namespace sumacquay {
namespace {

TEST(HostRecordWrites, AllowsOneWriteInFlightPerRecord) {
  HostRecordWrites writes;
  EXPECT_TRUE(writes.begin("i-1"));
  EXPECT_FALSE(writes.begin("i-1"));
  EXPECT_TRUE(writes.begin("i-2"));
  writes.end("i-1");
  EXPECT_TRUE(writes.begin("i-1"));
}

TEST(HostRecordWrites, DeletionStaysRequestedUntilExecuted) {
  HostRecordWrites writes;
  writes.request_deletion("i-1");
  EXPECT_TRUE(writes.begin("i-1"));
  writes.end("i-1");
  EXPECT_EQ(writes.pending_deletions(), std::set<std::string>{"i-1"})
      << "the write has ended without being executed";
  writes.complete_deletion("i-1");
  EXPECT_TRUE(writes.pending_deletions().empty());
}

TEST(Machine, DurableHostRecordIsNotRequestedAgain) {
  Machine machine;
  EXPECT_EQ(machine.host_record_state, HostRecordState::None);
  machine.request_host_record();
  EXPECT_EQ(machine.host_record_state, HostRecordState::Requested);
  machine.host_record_state = HostRecordState::Durable;
  machine.request_host_record();
  EXPECT_EQ(machine.host_record_state, HostRecordState::Durable);
}

}  // namespace
}  // namespace sumacquay
