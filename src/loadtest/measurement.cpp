#include "loadtest/measurement.h"

#include <fstream>
#include <ostream>
#include <sstream>

namespace sumacquay::loadtest {
namespace {

std::vector<std::string> split(const std::string& line) {
  std::vector<std::string> cells;
  std::istringstream in(line);
  for (std::string cell; std::getline(in, cell, ',');) cells.push_back(cell);
  return cells;
}

const Column* find_column(const std::string& name) {
  for (const auto& column : columns())
    if (name == column.name) return &column;
  return nullptr;
}

}  // namespace

const std::vector<Column>& columns() {
  using M = Measurement;
  static const std::vector<Column> all{
      {"value", &M::value},
      {"machines", &M::machines},
      {"tasks", &M::tasks},
      {"waiting_jobs", &M::waiting_jobs},
      {"teams", &M::teams},
      {"fill_s", &M::fill_s},
      {"filled", &M::filled},
      {"fill_leader_cpu_s", &M::fill_leader_cpu_s},
      {"leader_cores", &M::leader_cores},
      {"follower_cores", &M::follower_cores},
      {"leader_mb", &M::leader_mb},
      {"follower_mb", &M::follower_mb},
      {"leader_sockets", &M::leader_sockets},
      {"follower_sockets", &M::follower_sockets},
      {"reports_per_s", &M::heartbeats_per_s},
      {"orders_per_s", &M::commands_per_s},
      {"worker_bytes_per_s", &M::worker_bytes_per_s},
      {"state_requests_per_s", &M::state_requests_per_s},
      {"state_writes_per_s", &M::state_writes_per_s},
      {"state_bytes_per_s", &M::state_bytes_per_s},
      {"state_keys", &M::state_keys},
      {"cloud_requests_per_s", &M::cloud_requests_per_s},
      {"starts_per_s", &M::starts_per_s},
      {"urgent_started", &M::urgent_started},
      {"urgent_p50_s", &M::urgent_p50_s},
      {"urgent_p90_s", &M::urgent_p90_s},
      {"urgent_p99_s", &M::urgent_p99_s},
      {"urgent_worst_s", &M::urgent_worst_s},
      {"accept_p99_s", &M::accept_p99_s},
      {"takeover_s", &M::takeover_s},
      {"violations", &M::violations},
      {"leases_lost", &M::leases_lost},
      {"standin_cores", &M::simulator_cores},
  };
  return all;
}

void write_header(std::ostream& out) {
  out << "quantity";
  for (const auto& column : columns()) out << ',' << column.name;
  out << '\n';
}

void write_row(std::ostream& out, const Measurement& measurement) {
  constexpr int kDigits = 6;
  out.precision(kDigits);
  out << measurement.quantity;
  for (const auto& column : columns()) out << ',' << measurement.*column.field;
  out << '\n' << std::flush;
}

std::vector<Measurement> read_table(const std::string& path) {
  std::ifstream in(path);
  std::string line;
  if (!std::getline(in, line)) throw_setting_error(path, "header", "is missing");
  const auto header = split(line);
  std::vector<Measurement> rows;
  while (std::getline(in, line)) {
    const auto cells = split(line);
    if (cells.size() != header.size())
      throw_setting_error(path, "row", "has a different number of cells than the header");
    Measurement row;
    row.quantity = cells[0];
    for (size_t i = 1; i < cells.size(); ++i)
      if (const Column* column = find_column(header[i])) row.*column->field = std::stod(cells[i]);
    rows.push_back(std::move(row));
  }
  return rows;
}

}  // namespace sumacquay::loadtest
