#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/report.h"
#include "jobs/record.h"
#include "leadership/delegation.h"
#include "wire/view.h"

/// Protocol messages <-> types. The only place that knows the spellings of the wire.
namespace sumacquay::wire {

namespace path {
inline constexpr const char* kJobs = "/work";
inline constexpr const char* kCancel = "/cancel";
inline constexpr const char* kReady = "/ready";
inline constexpr const char* kReport = "/hello";
inline constexpr const char* kOrders = "/orders";
inline constexpr const char* kTypes = "/machine_types";
inline constexpr const char* kMachines = "/hosts";
inline constexpr const char* kRelease = "/hosts/release";
inline constexpr const char* kStore = "/store";
inline constexpr const char* kTransaction = "/multi";
inline constexpr const char* kGrants = "/grants";
inline constexpr const char* kChanges = "/changes";
inline constexpr const char* kHeartbeat = "/heartbeat";
}  // namespace path

// Users.
struct ParsedJob {
  std::optional<JobSpec> spec;
  std::string error;  ///< why there is none
  std::string id;     ///< also of a malformed job, where it can be read and is valid
};
bool valid_job_id(std::string_view id);
ParsedJob parse_job(std::string_view body);
enum class ShownState { Pending, Running, Done, Cancelled };
std::string job_answer(const std::string& id, ShownState state);
std::string job_status(const std::string& id, ShownState state, uint32_t done, uint32_t running);
std::string error_body(const std::string& error);

// Workers.
std::optional<WorkerReport> parse_report(std::string_view body);
std::string report_answer(uint64_t token, const std::vector<Command>& commands);
std::string redirect_body(const std::string& node);
std::string orders_body(uint64_t token, uint64_t session, const std::vector<Command>& commands);

// Cloud.
std::optional<std::vector<MachineType>> parse_types(std::string_view body);
struct MachinePage {
  std::vector<ListedMachine> machines;
  bool more = false;
};
std::optional<MachinePage> parse_machines(std::string_view body);
std::string machines_path(const std::string& after, int limit);
std::string rent_body(const std::string& request, const std::string& type, const std::string& zone,
                      bool spot, int count);
std::optional<std::vector<std::string>> parse_rented(std::string_view body);
std::string release_body(const std::vector<std::string>& machines);

// State service.
struct StoreItem {
  std::string key;
  View value;  ///< missing: deleted
  uint64_t version = 0;
};
struct StorePage {
  std::shared_ptr<Document> document;  ///< owns what the items look at
  std::vector<StoreItem> items;
  bool more = false;
  uint64_t revision = 0;
};
std::optional<StorePage> parse_page(std::string_view body);
std::optional<StorePage> parse_changes(std::string_view body);
std::optional<StorePage> parse_item(std::string_view body);
std::optional<uint64_t> parse_revision(std::string_view body);
std::vector<std::string> parse_failed(std::string_view body);
std::optional<uint64_t> parse_lease(std::string_view body);
std::string grant_body(uint64_t ttl_ms);
std::string grant_path(uint64_t lease);
std::string renew_path(uint64_t lease);
std::string item_path(const std::string& key);
std::string page_path(const std::string& prefix, const std::string& after, int limit);
std::string changes_path(const std::string& prefix, uint64_t after, uint64_t wait_ms);

struct Guard {
  std::string key;
  uint64_t version = 0;  ///< 0: the key does not exist
};
struct Change {
  std::string key;
  std::string value;  ///< encoded; empty: delete
  uint64_t lease = 0;
};
std::string transaction_body(const std::vector<Guard>& guards, const std::vector<Change>& changes);

// Records, our own values in the state service.
std::string encode_job(const JobRecord& record);
std::optional<JobRecord> decode_job(View value);
std::string encode_finished(JobState state, uint32_t done);
struct FinishedRecord {
  JobState state = JobState::Done;
  uint32_t done = 0;
};
std::optional<FinishedRecord> decode_finished(View value);
std::string encode_host(const HostRecord& host);
std::optional<HostRecord> decode_host(View value);
struct LeaderRecord {
  std::string node;
  uint64_t nonce = 0;  ///< tells one process of a node from the next
  uint64_t term = 0;
  uint64_t lease = 0;
};
std::string encode_leader(const LeaderRecord& record);
std::optional<LeaderRecord> decode_leader(View value);

// Controllers among themselves.
struct RunningCount {
  std::string job;
  uint32_t done = 0, running = 0;
};
/// An image that a machine holds, as far as the leader can tell.
struct HeldImage {
  std::string machine, image;
  double gb = 0;
};
/// What a heartbeat says beside the status about terms. Together the parts of a large fleet would
/// take more than a body may.
enum class HeartbeatPart { Beat, Counts, Hints };
struct Heartbeat {
  HeartbeatPart part = HeartbeatPart::Beat;
  std::string node;
  uint64_t term = 0;
  bool leading = false;
  bool served = false;  ///< by the state service, not long ago
  DelegateStatus status;
  std::optional<Delegation> delegation;  ///< for whom this answers
  std::vector<RunningCount> counts;
  std::vector<HeldImage> images;       ///< by machine, each one's most recently used last
  std::vector<ListedMachine> booting;  ///< rented and not heard yet
};
std::string encode_heartbeat(const Heartbeat& heartbeat);
/// The same within a body's limit: what is too much is left out, the status about terms never.
std::string encode_heartbeat_within(Heartbeat heartbeat, size_t limit);
std::optional<Heartbeat> decode_heartbeat(std::string_view body);

}  // namespace sumacquay::wire
