#include "config/settings.h"

#include <confuse.h>
#include <toml++/toml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdarg>
#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>

namespace sumacquay {
namespace {

[[noreturn]] void fail(const std::string& source, const std::string& field,
                       const std::string& why) {
  throw SettingsError(source + ": " + field + ": " + why);
}

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw SettingsError(path + ": can't be read");
  std::ostringstream out;
  out << in.rdbuf();
  if (in.bad()) throw SettingsError(path + ": can't be read");
  return out.str();
}

/// One table of the platform's file with the path that error messages name.
class Table {
 public:
  Table(const std::string& source, std::string path, const toml::table* table)
      : source_(source), path_(std::move(path)), table_(table) {}

  Table child(const char* name) const {
    const toml::table* t = table_->get_as<toml::table>(name);
    if (!t) fail(source_, field(name), "missing table");
    return Table(source_, field(name), t);
  }

  std::vector<Table> children(const char* name) const {
    std::vector<Table> out;
    const toml::node* node = table_->get(name);
    if (!node) return out;
    const toml::array* list = node->as_array();
    if (!list) fail(source_, field(name), "must be a list of tables");
    for (size_t i = 0; i < list->size(); ++i) {
      const std::string path = field(name) + "[" + std::to_string(i) + "]";
      const toml::table* t = (*list)[i].as_table();
      if (!t) fail(source_, path, "must be a table");
      out.emplace_back(source_, path, t);
    }
    return out;
  }

  std::string text(const char* name) const {
    auto v = table_->get_as<std::string>(name);
    if (!v || v->get().empty()) fail(source_, field(name), "must be a text that is not empty");
    return v->get();
  }

  std::string text_or(const char* name, const std::string& fallback) const {
    return table_->contains(name) ? text(name) : fallback;
  }

  std::vector<std::string> texts(const char* name) const {
    std::vector<std::string> out;
    const toml::array* list = table_->get_as<toml::array>(name);
    if (!list) fail(source_, field(name), "must be a list of texts");
    for (const auto& item : *list) {
      if (!item.is_string()) fail(source_, field(name), "must be a list of texts");
      out.push_back(item.as_string()->get());
    }
    return out;
  }

  double number(const char* name, double least, double most) const {
    const toml::node* node = table_->get(name);
    std::optional<double> v;
    if (node && node->is_number()) v = node->value<double>();
    if (!v || !std::isfinite(*v)) fail(source_, field(name), "must be a number");
    if (*v < least || *v > most) {
      std::ostringstream why;
      why << "must be from " << least << " to " << most;
      fail(source_, field(name), why.str());
    }
    return *v;
  }

  double number_or(const char* name, double fallback, double least, double most) const {
    return table_->contains(name) ? number(name, least, most) : fallback;
  }

  Endpoint endpoint(const char* name) const {
    const std::string v = text(name);
    const auto colon = v.rfind(':');
    unsigned port = 0;
    if (colon == std::string::npos || colon == 0)
      fail(source_, field(name), "must be address:port");
    auto [end, error] = std::from_chars(v.data() + colon + 1, v.data() + v.size(), port);
    if (error != std::errc() || end != v.data() + v.size() || port > 65535)
      fail(source_, field(name), "must be address:port");
    return Endpoint{v.substr(0, colon), static_cast<unsigned short>(port)};
  }

 private:
  std::string field(const char* name) const { return path_.empty() ? name : path_ + "." + name; }
  const std::string& source_;
  std::string path_;
  const toml::table* table_;
};

void read_params(const Table& params, Settings& s) {
  s.zones = params.texts("zones");
  for (const Table& t : params.children("teams")) {
    TeamSettings team;
    team.name = t.text("name");
    team.cpus = t.number_or("cpus", 0, 0, 1e9);
    team.cpus_max = t.number_or("cpus_max", 0, 0, 1e9);
    team.gpus = t.number_or("gpus", 0, 0, 1e9);
    team.gpus_max = t.number_or("gpus_max", 0, 0, 1e9);
    s.teams.push_back(team);
  }
  for (const Table& t : params.children("objectives")) {
    Objective o;
    o.kind = t.text("kind");
    o.job_class = t.text_or("class", "");
    o.within_s = t.number_or("within_s", 0, 0, 1e9);
    o.share = t.number_or("share", 0, 0, 1);
    s.objectives.push_back(o);
  }
  const Table workers = params.child("workers");
  s.report_s = workers.number("report_s", 0.01, 3600);
  s.lease_s = workers.number("lease_s", 0.1, 36000);
  s.gang_wait_s = workers.number("gang_wait_s", 0, 36000);
  s.gang_peer_s = workers.number("gang_peer_s", 0, 36000);
  s.cancel_s = workers.number("cancel_s", 0, 36000);
  const Table state = params.child("state");
  s.state_rps = state.number("rps", 1, 1e9);
  s.state_write_rps = state.number("write_rps", 1, 1e9);
  s.state_value_kb = state.number("value_kb", 1, 1e6);
  s.state_txn_ops = static_cast<int>(state.number("txn_ops", 2, 1e6));
  const Table cloud = params.child("cloud");
  s.cloud_rps = cloud.number("rps", 0.01, 1e9);
  s.list_lag_s = cloud.number("list_lag_s", 0, 36000);
  const Table quota = params.child("quota");
  s.max_sockets = quota.number("fd_limit", 32, 1e9);
}

struct Ratio {
  const char* name;
  double Tuning::*field;
  double least, most;
};

constexpr Ratio kRatios[] = {{"leader_lease", &Tuning::leader_lease, 0.05, 0.5},
                             {"renew", &Tuning::renew, 0.05, 0.5},
                             {"grace", &Tuning::grace, 0, 1},
                             {"round", &Tuning::round, 0.01, 2},
                             {"suspect", &Tuning::suspect, 0.1, 1},
                             {"idle", &Tuning::idle, 0, 100},
                             {"headroom", &Tuning::headroom, 0, 100},
                             {"sockets", &Tuning::sockets, 0.1, 0.7}};
constexpr const char* kStartTries = "start_tries";

/// libconfuse hands its complaint to a callback without a place for data of ours.
std::string& parser_complaint() {
  static std::string text;
  return text;
}

void take_complaint(cfg_t* cfg, const char* format, va_list arguments) {
  char text[300];
  vsnprintf(text, sizeof text, format, arguments);
  parser_complaint() = "line " + std::to_string(cfg ? cfg->line : 0) + ": " + text;
}

void check_range(const std::string& source, const char* name, double value, double least,
                 double most) {
  if (std::isfinite(value) && value >= least && value <= most) return;
  std::ostringstream why;
  why << "must be from " << least << " to " << most;
  fail(source, name, why.str());
}

}  // namespace

const TeamSettings* Settings::team(const std::string& name) const {
  for (const auto& t : teams)
    if (t.name == name) return &t;
  return nullptr;
}

double Settings::answers_s() const {
  // Both clocks may drift; a little is added for what the arithmetic leaves out.
  constexpr double kDrift = 0.002, kSlack = 0.3;
  // Where a cancellation leaves less than a leader's lease, nothing could hold its time anyway.
  const double least = leader_lease_s();
  return std::max(least,
                  tuning.grace * (cancel_s * (1 - kDrift) - lease_s * (1 + kDrift) - kSlack));
}

bool Settings::finds_delegate(const std::string& of_zone) const {
  // The protocol's: a worker waits 4 s for an answer and turns to the next node 1 s later.
  constexpr double kEachNode = 4 + 1;
  size_t elsewhere = zone == of_zone ? 0 : 1;
  for (const auto& p : peers) elsewhere += p.zone == of_zone ? 0 : 1;
  return static_cast<double>(elsewhere) * kEachNode + 1.25 * report_s <= lease_s;
}

Settings parse_settings(const std::string& toml_text, const std::string& source) {
  toml::table parsed;
  try {
    parsed = toml::parse(toml_text, source);
  } catch (const toml::parse_error& e) {
    std::ostringstream where;
    where << "line " << e.source().begin.line;
    fail(source, where.str(), std::string(e.description()));
  }
  const Table root(source, "", &parsed);
  Settings s;
  s.node = root.text("label");
  s.zone = root.text_or("area", "");
  s.listen = root.endpoint("listen");
  s.peer_listen = root.endpoint("back");
  for (const Table& t : root.children("known")) {
    PeerSettings p;
    p.node = t.text("label");
    p.zone = t.text_or("area", "");
    p.addr = t.endpoint("peer_addr");
    s.peers.push_back(p);
  }
  const Table services = root.child("services");
  s.cloud = services.endpoint("cloud");
  s.state = services.endpoint("state");
  read_params(root.child("params"), s);
  return s;
}

Settings load_settings(const std::string& path) {
  return parse_settings(read_file(path), path);
}

Tuning parse_tuning(const std::string& hcl_text, const std::string& source) {
  Tuning t;
  std::vector<cfg_opt_t> options;
  for (const auto& r : kRatios) options.push_back(CFG_FLOAT(r.name, t.*r.field, CFGF_NONE));
  options.push_back(CFG_INT(kStartTries, t.start_tries, CFGF_NONE));
  options.push_back(CFG_END());
  const std::unique_ptr<cfg_t, decltype(&cfg_free)> cfg(cfg_init(options.data(), CFGF_NONE),
                                                        cfg_free);
  if (!cfg) throw SettingsError(source + ": can't be read");
  parser_complaint() = "not a list of settings";
  cfg_set_error_function(cfg.get(), take_complaint);
  if (cfg_parse_buf(cfg.get(), hcl_text.c_str()) != CFG_SUCCESS)
    throw SettingsError(source + ": " + parser_complaint());
  for (const auto& r : kRatios) {
    t.*r.field = cfg_getfloat(cfg.get(), r.name);
    check_range(source, r.name, t.*r.field, r.least, r.most);
  }
  const long tries = cfg_getint(cfg.get(), kStartTries);
  check_range(source, kStartTries, static_cast<double>(tries), 1, 1000);
  t.start_tries = static_cast<int>(tries);
  return t;
}

Tuning load_tuning(const std::string& path) {
  return parse_tuning(read_file(path), path);
}

}  // namespace sumacquay
