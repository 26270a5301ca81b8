#pragma once
#include "jobs/spec.h"
#include "wire/codec.h"

/// A job's description on the wire. Users submit it, and records keep it with the same field names.
/// Private to src/wire.
namespace sumacquay::wire::codec {

/// Reads a description into `spec`. `fields` records the first field that is missing or invalid;
/// unless it is ok, `spec` is incomplete.
void read_spec(Fields& fields, JobSpec& spec);

/// Packs a description as a map. Fields without a value are left out.
void pack_spec(Packer& packer, const JobSpec& spec);

}  // namespace sumacquay::wire::codec
