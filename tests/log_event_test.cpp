#include "logging/log_event.h"

#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>

#include <memory>
#include <sstream>

namespace sumacquay {
namespace {

/// Replaces the default logger by one that writes to a string.
class LogEvent : public ::testing::Test {
 protected:
  LogEvent() : previous_(spdlog::default_logger()) {
    auto logger = std::make_shared<spdlog::logger>(
        "test", std::make_shared<spdlog::sinks::ostream_sink_st>(written_));
    logger->set_pattern("%l %v");
    logger->set_level(spdlog::level::info);
    spdlog::set_default_logger(logger);
  }
  ~LogEvent() override { spdlog::set_default_logger(previous_); }

  std::ostringstream written_;

 private:
  std::shared_ptr<spdlog::logger> previous_;
};

TEST_F(LogEvent, WritesOneLineWithFieldsInOrder) {
  log_info("job_preempted", log_field("job", std::string("job-1")), log_field("task", 7u),
           log_field("waited_s", 1.25));
  EXPECT_EQ(written_.str(), "info event=job_preempted job=job-1 task=7 waited_s=1.250\n");
}

TEST_F(LogEvent, QuotesValuesThatAreNotOneWord) {
  log_warning("resigned", log_field("reason", "no \"worker\"\ngets through"),
              log_field("zone", ""));
  EXPECT_EQ(written_.str(),
            "warning event=resigned reason=\"no \\\"worker\\\" gets through\" zone=\"\"\n");
}

TEST_F(LogEvent, DropsEventsBelowLevel) {
  log_debug("task_attempt_state_changed");
  log_error("record_unreadable");
  EXPECT_EQ(written_.str(), "error event=record_unreadable\n");
}

}  // namespace
}  // namespace sumacquay
