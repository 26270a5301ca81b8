#pragma once

/// Umbrella header for placement: bin packing, reservations, tentative placement and preemption,
/// which do no I/O and read no clock. New code should include only the headers that it needs.
#include "placement/bin_packing.h"
#include "placement/candidate_machine.h"
#include "placement/eligibility.h"
#include "placement/placement_request.h"
#include "placement/preemption.h"
#include "placement/reservation.h"
#include "placement/tentative_placement.h"
