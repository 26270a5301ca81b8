#pragma once

/// All placement decisions: bin packing, reservations, tentative placement and preemption. They are
/// functions of their arguments, without I/O and without a clock. New code includes the header of
/// the one it needs.
#include "placement/bin_packing.h"
#include "placement/candidate_machine.h"
#include "placement/eligibility.h"
#include "placement/placement_request.h"
#include "placement/preemption.h"
#include "placement/reservation.h"
#include "placement/tentative_placement.h"
