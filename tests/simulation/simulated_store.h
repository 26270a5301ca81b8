#pragma once
#include <variant>

#include "jobs/record.h"
#include "simulators/key_value_store.h"
#include "wire/messages.h"

namespace sumacquay::simulation {

/// A record in the simulated key-value store. StoreChannel injects the faults between the store and
/// the controllers.
using RecordValue = std::variant<JobRecord, wire::FinishedRecord, HostRecord, wire::LeaderRecord>;
using SimulatedStore = simulators::KeyValueStore<RecordValue>;

}  // namespace sumacquay::simulation
