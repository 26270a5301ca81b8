#pragma once

/// Names of the fields that several messages share: each constant maps a term of this code to the
/// name that the protocol uses. Fields of a single message are named in its module (for example
/// those of a job in job_spec_codec.cpp), enumerators in enum_names.h, and the fields of records
/// and peer heartbeats in records.cpp and peer_heartbeat.cpp. No other module refers to the names
/// of the protocol. Private to src/wire and src/simulators.
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

// Paged lists.
inline constexpr const char* kMore = "more";

}  // namespace sumacquay::wire::field
