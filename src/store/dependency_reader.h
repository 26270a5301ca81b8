#pragma once
#include <functional>
#include <string>

#include "jobs/record.h"
#include "store/key_value_store_client.h"
#include "store/load_generation.h"
#include "store/record_tables.h"

namespace sumacquay {

/// Reads how jobs ended that live jobs depend on and of which the tables know nothing: finished
/// jobs are not part of a snapshot. RecordCache calls it. It changes no tables itself.
class DependencyReader {
 public:
  using Found = std::function<void(const std::string& id, FinishedRecord record)>;

  /// `found` is called with each record that was read, and has to make the job known to the tables.
  DependencyReader(KeyValueStoreClient& store, LoadGeneration& generation,
                   const RecordTables& tables, double retry_s, Found found);

  /// Reads what is unknown, one after another; one that can't be read is asked for again. Does
  /// nothing while a read is in progress.
  void read_unknown();
  /// To be called when a load starts: the answer to a read in progress will be dropped.
  void reset() { reading_ = false; }

 private:
  void read(const std::string& id);
  void on_answer(const std::string& id, const HttpResult& result);

  KeyValueStoreClient& store_;
  LoadGeneration& generation_;
  const RecordTables& tables_;
  double retry_s_;  ///< from a failed read to the next
  Found found_;
  bool reading_ = false;
  std::string last_read_;  ///< jobs are read in turn, by id
};

}  // namespace sumacquay
