#pragma once
#include "backlog/pending_queue.h"

namespace sumacquay {

/// What a leader has decided and not passed on yet, so that passing it on costs what it is and not
/// a look at every machine and job. It says only where to look first: whoever takes a name out
/// judges anew what may be sent or written, and each round looks at everything and puts in what was
/// missed. So a name too many costs a look, and one too few a round's pause.
struct DispatchBacklog {
  PendingQueue worker_commands;  ///< machines that may have commands to be sent
  PendingQueue machine_records;  ///< machines whose records are to be written
  PendingQueue job_records;      ///< jobs whose records are to be written, by urgency
};

}  // namespace sumacquay
