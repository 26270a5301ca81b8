#pragma once
#include <variant>

#include "jobs/record.h"
#include "simulators/key_value_store.h"
#include "wire/messages.h"

namespace sumacquay::simulation {

/// A record as the simulated state service holds it. Faults on the way to it are the state
/// channel's.
using RecordValue = std::variant<JobRecord, wire::FinishedRecord, HostRecord, wire::LeaderRecord>;
using StateService = simulators::KeyValueStore<RecordValue>;

}  // namespace sumacquay::simulation
