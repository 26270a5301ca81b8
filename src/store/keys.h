#pragma once
#include <string>

/// Keys of the key-value store. Keys that end in a slash are prefixes, followed by the id of a job
/// or machine.
namespace sumacquay::keys {

inline const std::string kRoot = "sq/";
inline const std::string kLive = "sq/live/";
inline const std::string kFinished = "sq/over/";
inline const std::string kHost = "sq/host/";
inline const std::string kLeader = "sq/leader";
inline const std::string kTerm = "sq/term";

}  // namespace sumacquay::keys
