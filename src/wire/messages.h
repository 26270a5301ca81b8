#pragma once

/// Includes the headers of all messages. New code includes only the header for the counterpart that
/// it communicates with.
#include "wire/cloud_messages.h"
#include "wire/peer_heartbeat.h"
#include "wire/records.h"
#include "wire/store_messages.h"
#include "wire/user_messages.h"
#include "wire/worker_message_size.h"
#include "wire/worker_messages.h"
