#pragma once

/// All messages at once. New code includes the header of the counterpart it talks to.
#include "wire/cloud_messages.h"
#include "wire/peer_heartbeat.h"
#include "wire/records.h"
#include "wire/store_messages.h"
#include "wire/user_messages.h"
#include "wire/worker_messages.h"
