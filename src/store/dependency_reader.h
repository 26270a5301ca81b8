#pragma once
#include <functional>
#include <string>

#include "jobs/record.h"
#include "store/key_value_store_client.h"
#include "store/load_generation.h"
#include "store/record_tables.h"

namespace sumacquay {

/// Reads the finished records of dependencies that are missing from the tables, since snapshots do
/// not include finished jobs. Called by RecordCache; does not modify the tables itself.
class DependencyReader {
 public:
  using RecordReadCallback = std::function<void(const std::string& id, FinishedRecord record)>;

  /// `on_record_read` is called with each record that was read and must add it to the tables.
  DependencyReader(KeyValueStoreClient& store, LoadGeneration& generation,
                   const RecordTables& tables, double retry_delay_s,
                   RecordReadCallback on_record_read);

  /// Reads the records of all unknown dependencies sequentially and retries failed reads. Does
  /// nothing while a read is in flight.
  void read_unknown();
  /// Must be called when a load starts, because the response to a read in flight is then dropped.
  void reset() { read_in_flight_ = false; }

 private:
  void read(const std::string& id);
  void on_response(const std::string& id, const HttpResult& result);

  KeyValueStoreClient& store_;
  LoadGeneration& generation_;
  const RecordTables& tables_;
  double retry_delay_s_;  ///< delay after a failed read
  RecordReadCallback on_record_read_;
  bool read_in_flight_ = false;
  std::string last_read_id_;  ///< id of the last job that was read; reads go round-robin by id
};

}  // namespace sumacquay
