#pragma once

/// The protocol's names of fields that several messages use: each line maps the protocol's word, on
/// the right, to the term that the code uses, on the left. Those that one message alone has stand
/// in its module (a job's in job_spec_codec.cpp), enumerators in enum_names.h, and the names in our
/// own records in records.cpp and peer_heartbeat.cpp. No module but these knows the protocol's
/// words. Private to src/wire and the simulators.
namespace sumacquay::wire::field {

// Jobs and tasks.
inline constexpr const char* kId = "id";
inline constexpr const char* kState = "stage";
inline constexpr const char* kTasks = "threads";
inline constexpr const char* kTask = "thread";
inline constexpr const char* kAttempt = "try";

// Machines and their types.
inline constexpr const char* kMachine = "loom";
inline constexpr const char* kMachines = "looms";
inline constexpr const char* kAddress = "addr";
inline constexpr const char* kType = "frame";
inline constexpr const char* kTypes = "frames";
inline constexpr const char* kZone = "hall";
inline constexpr const char* kSpot = "borrowed";
inline constexpr const char* kCpus = "vcpus";
inline constexpr const char* kGpus = "cards";
inline constexpr const char* kMemory = "ram_gb";

// Workers' heartbeats and commands.
inline constexpr const char* kFencingToken = "baton";
inline constexpr const char* kAgentEpoch = "shift";

// The key-value store.
inline constexpr const char* kKey = "path";
inline constexpr const char* kVersion = "stamp";
inline constexpr const char* kValue = "v";
inline constexpr const char* kRevision = "epoch";
inline constexpr const char* kLease = "charter";
inline constexpr const char* kSet = "set";
inline constexpr const char* kDelete = "delete";

// Pages of lists.
inline constexpr const char* kMore = "more";

}  // namespace sumacquay::wire::field
