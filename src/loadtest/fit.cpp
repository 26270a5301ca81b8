#include "loadtest/fit.h"

#include <cmath>
#include <iomanip>
#include <set>
#include <sstream>

namespace sumacquay::loadtest {
namespace {

/// Logarithms of the coordinates of a point.
struct LogPoint {
  double x = 0, y = 0;
};

std::vector<LogPoint> log_points(const std::vector<double>& x, const std::vector<double>& y) {
  std::vector<LogPoint> points;
  for (size_t i = 0; i < x.size(); ++i)
    if (x[i] > 0 && y[i] > 0) points.push_back({std::log(x[i]), std::log(y[i])});
  return points;
}

/// The columns that the report shows for each sweep.
const std::vector<std::string>& report_columns() {
  static const std::vector<std::string> names{
      "leader_cores",       "follower_cores", "leader_mb",          "follower_mb",
      "leader_sockets",     "reports_per_s",  "worker_bytes_per_s", "state_requests_per_s",
      "state_writes_per_s", "fill_s",         "fill_leader_cpu_s",  "urgent_p50_s",
      "urgent_p99_s"};
  return names;
}

void append_measurements_table(std::ostringstream& out, const std::vector<Measurement>& rows,
                               const std::string& quantity) {
  out << "\n| " << quantity << " |";
  for (const auto& name : report_columns()) out << ' ' << name << " |";
  out << "\n| --- |";
  for (size_t i = 0; i < report_columns().size(); ++i) out << " --- |";
  out << '\n';
  for (const auto& row : rows) {
    if (row.quantity != quantity) continue;
    out << "| " << row.value << " |";
    for (const auto& name : report_columns())
      for (const auto& column : columns())
        if (name == column.name) out << ' ' << row.*column.field << " |";
    out << '\n';
  }
}

void append_fits_table(std::ostringstream& out, const std::vector<Measurement>& rows,
                       const std::string& quantity) {
  out << "\n| figure | exponent | between the two largest | residual | points |\n"
      << "| --- | --- | --- | --- | --- |\n";
  for (const auto& name : report_columns())
    for (const auto& column : columns()) {
      if (name != column.name) continue;
      const PowerLawFit fit = fit_column(rows, quantity, column);
      if (fit.points < 2) continue;
      out << "| " << name << " | " << fit.exponent << " | " << fit.tail_exponent << " | "
          << fit.residual << " | " << fit.points << " |\n";
    }
}

}  // namespace

double PowerLawFit::evaluate(double x) const {
  return factor * std::pow(x, exponent);
}

PowerLawFit fit_power_law(const std::vector<double>& x, const std::vector<double>& y) {
  const auto points = log_points(x, y);
  PowerLawFit fit;
  fit.points = points.size();
  if (points.size() < 2) return fit;
  const auto count = static_cast<double>(points.size());
  LogPoint mean;
  for (const auto& point : points) {
    mean.x += point.x / count;
    mean.y += point.y / count;
  }
  double covariance = 0;
  double variance = 0;
  for (const auto& point : points) {
    covariance += (point.x - mean.x) * (point.y - mean.y);
    variance += (point.x - mean.x) * (point.x - mean.x);
  }
  if (variance <= 0) return {};
  fit.exponent = covariance / variance;
  fit.factor = std::exp(mean.y - fit.exponent * mean.x);
  double squares = 0;
  for (const auto& point : points) {
    const double deviation = point.y - std::log(fit.evaluate(std::exp(point.x)));
    squares += deviation * deviation;
  }
  fit.residual = std::sqrt(squares / count);
  const LogPoint& last = points.back();
  const LogPoint& second_last = points[points.size() - 2];
  fit.tail_exponent = (last.y - second_last.y) / (last.x - second_last.x);
  return fit;
}

PowerLawFit fit_column(const std::vector<Measurement>& rows, const std::string& quantity,
                       const Column& column) {
  std::vector<double> x;
  std::vector<double> y;
  for (const auto& row : rows) {
    if (row.quantity != quantity) continue;
    x.push_back(row.value);
    y.push_back(row.*column.field);
  }
  return fit_power_law(x, y);
}

std::string format_report(const std::vector<Measurement>& rows) {
  std::set<std::string> quantities;
  for (const auto& row : rows) quantities.insert(row.quantity);
  std::ostringstream out;
  constexpr int kDigits = 4;
  out << std::setprecision(kDigits);
  for (const auto& quantity : quantities) {
    out << "\n### " << quantity << '\n';
    append_measurements_table(out, rows, quantity);
    append_fits_table(out, rows, quantity);
  }
  return out.str();
}

}  // namespace sumacquay::loadtest
