#pragma once
#include "jobs/spec.h"
#include "wire/codec.h"

/// Encoding of a job's description. Users submit it, and records store it with the same field
/// names. Private to src/wire and src/simulators.
namespace sumacquay::wire::codec {

/// Reads a description into `spec`. `fields` records the first field that is missing or invalid; if
/// there is one, `spec` is incomplete.
void read_spec(Fields& fields, JobSpec& spec);

/// Packs a description as a map. Optional fields without a value are omitted.
void pack_spec(Packer& packer, const JobSpec& spec);

}  // namespace sumacquay::wire::codec
