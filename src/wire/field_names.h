#pragma once

/// The platform's spellings of fields that several messages use. A spelling that occurs in one
/// message alone stands there, and those of our own records stand in records.cpp and heartbeat.cpp.
/// Private to src/wire and the simulators.
namespace sumacquay::wire::field {

// Jobs and tasks.
inline constexpr const char* kId = "id";
inline constexpr const char* kStage = "stage";
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

// Workers' orders.
inline constexpr const char* kFencingToken = "baton";
inline constexpr const char* kAgentEpoch = "shift";

// The state service.
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
