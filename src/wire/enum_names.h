#pragma once
#include "fleet/worker_heartbeat.h"
#include "wire/codec.h"
#include "wire/user_messages.h"

/// Names of enumerators in the protocol, for messages that src/wire and src/simulators both encode
/// or decode (the simulators implement workers, users, the cloud and the key-value store). Each
/// entry maps an enumerator to its name on the wire.
namespace sumacquay::wire::enum_names {

using codec::EnumNames;

inline constexpr EnumNames<TaskState, 5> kTaskStates{{{TaskState::Fetching, "fetching"},
                                                      {TaskState::Waiting, "waiting"},
                                                      {TaskState::Running, "running"},
                                                      {TaskState::Checkpointing, "flushing"},
                                                      {TaskState::Exited, "exited"}}};
inline constexpr EnumNames<ExitCause, 8> kExitCauses{{{ExitCause::Done, "done"},
                                                      {ExitCause::Stopped, "stopped"},
                                                      {ExitCause::GangMemberGone, "mates_gone"},
                                                      {ExitCause::GangIncomplete, "alone"},
                                                      {ExitCause::Error, "error"},
                                                      {ExitCause::InsufficientResources, "no_room"},
                                                      {ExitCause::Busy, "in_use"},
                                                      {ExitCause::Unknown, "unknown"}}};
inline constexpr EnumNames<CommandType, 3> kCommandTypes{
    {{CommandType::Start, "start"}, {CommandType::Stop, "kill"}, {CommandType::Discard, "clear"}}};

inline constexpr EnumNames<UserVisibleState, 4> kUserVisibleStates{
    {{UserVisibleState::Pending, "pending"},
     {UserVisibleState::Running, "running"},
     {UserVisibleState::Done, "done"},
     {UserVisibleState::Cancelled, "cancelled"}}};

inline constexpr EnumNames<ListedMachine::State, 3> kMachineStates{
    {{ListedMachine::State::Booting, "starting"},
     {ListedMachine::State::Running, "running"},
     {ListedMachine::State::Failed, "failed"}}};

}  // namespace sumacquay::wire::enum_names
