#include "wire/messages.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>

namespace sumacquay::wire {
namespace {

using Buffer = msgpack::sbuffer;
using Packer = msgpack::packer<Buffer>;

template <class F>
std::string build(F&& fill) {
  Buffer buffer;
  Packer packer(buffer);
  fill(packer);
  return std::string(buffer.data(), buffer.size());
}

void text(Packer& p, std::string_view v) {
  p.pack_str(static_cast<uint32_t>(v.size()));
  p.pack_str_body(v.data(), static_cast<uint32_t>(v.size()));
}
void pair(Packer& p, std::string_view k, std::string_view v) {
  text(p, k), text(p, v);
}
void pair(Packer& p, std::string_view k, uint64_t v) {
  text(p, k), p.pack_uint64(v);
}
void pair(Packer& p, std::string_view k, double v) {
  text(p, k), p.pack_double(v);
}
void pair(Packer& p, std::string_view k, bool v) {
  text(p, k);
  v ? p.pack_true() : p.pack_false();
}

template <class E, size_t N>
using Names = std::array<std::pair<E, std::string_view>, N>;

constexpr Names<JobKind, 3> kKinds{
    {{JobKind::Array, "sweep"}, {JobKind::Gang, "ensemble"}, {JobKind::Service, "service"}}};
constexpr Names<Priority, 4> kPriorities{{{Priority::Production, "production"},
                                          {Priority::High, "high"},
                                          {Priority::Normal, "normal"},
                                          {Priority::Low, "best_effort"}}};
constexpr Names<TaskState, 5> kTaskStates{{{TaskState::Fetching, "fetching"},
                                           {TaskState::Waiting, "waiting"},
                                           {TaskState::Running, "running"},
                                           {TaskState::Saving, "flushing"},
                                           {TaskState::Exited, "exited"}}};
constexpr Names<ExitCause, 8> kCauses{{{ExitCause::Done, "done"},
                                       {ExitCause::Stopped, "stopped"},
                                       {ExitCause::Peers, "mates_gone"},
                                       {ExitCause::Alone, "alone"},
                                       {ExitCause::Error, "error"},
                                       {ExitCause::NoRoom, "no_room"},
                                       {ExitCause::Busy, "in_use"},
                                       {ExitCause::Unknown, "unknown"}}};
constexpr Names<Verb, 3> kVerbs{
    {{Verb::Start, "start"}, {Verb::Stop, "kill"}, {Verb::Forget, "clear"}}};
constexpr Names<ListedMachine::State, 3> kListed{{{ListedMachine::State::Booting, "starting"},
                                                  {ListedMachine::State::Running, "running"},
                                                  {ListedMachine::State::Failed, "failed"}}};
constexpr Names<JobState, 3> kJobStates{
    {{JobState::Pending, "pending"}, {JobState::Cancelled, "cancelled"}, {JobState::Done, "done"}}};
constexpr Names<ShownState, 4> kShown{{{ShownState::Pending, "pending"},
                                       {ShownState::Running, "running"},
                                       {ShownState::Done, "done"},
                                       {ShownState::Cancelled, "cancelled"}}};

template <class E, size_t N>
std::string_view name_of(const Names<E, N>& names, E value) {
  for (const auto& [e, n] : names)
    if (e == value) return n;
  return {};
}

template <class E, size_t N>
std::optional<E> value_of(const Names<E, N>& names, View v) {
  const auto t = v.text_view();
  for (const auto& [e, n] : names)
    if (t == n) return e;
  return std::nullopt;
}

/// Reads required fields and remembers the first that is missing or invalid.
class Fields {
 public:
  explicit Fields(View map) : map_(map) {}

  std::string text(const char* name, size_t least, size_t most) {
    auto v = map_[name].text();
    if (!v || v->size() < least || v->size() > most) return note(name), std::string();
    return *v;
  }
  double amount(const char* name) {
    auto v = map_[name].number();
    if (!v || *v < 0 || *v > kMost) return note(name), 0.0;
    return *v;
  }
  bool flag(const char* name) {
    auto v = map_[name].flag();
    if (!v) note(name);
    return v.value_or(false);
  }
  uint64_t count(const char* name, uint64_t least, uint64_t most) {
    auto v = map_[name].count();
    if (!v || *v < least || *v > most) return note(name), least;
    return *v;
  }
  template <class E, size_t N>
  E choice(const char* name, const Names<E, N>& names) {
    auto v = value_of(names, map_[name]);
    if (!v) note(name);
    return v.value_or(names[0].first);
  }
  View operator[](const char* name) const { return map_[name]; }
  void note(const char* name) {
    if (error_.empty()) error_ = std::string("missing or invalid field: ") + name;
  }
  const std::string& error() const { return error_; }
  bool ok() const { return error_.empty(); }

 private:
  static constexpr double kMost = 1e12;
  View map_;
  std::string error_;
};

bool key_safe(std::string_view s) {
  return std::all_of(s.begin(), s.end(), [](unsigned char c) { return c > 32 && c < 127; });
}

void read_spec(Fields& f, JobSpec& s) {
  constexpr size_t kName = 200;
  s.id = f.text("id", 1, kName);
  if (f.ok() && !valid_job_id(s.id)) f.note("id");
  s.job_class = f.text("pattern", 0, kName);
  s.team = f.text("guild", 0, kName);
  s.kind = f.choice("weave", kKinds);
  s.priority = f.choice("urgency", kPriorities);
  s.tasks = static_cast<uint32_t>(f.count("threads", 1, 100000));
  s.need = {f.amount("vcpus"), f.amount("cards"), f.amount("ram_gb")};
  s.image = f.text("bolt", 0, kName);
  s.image_gb = f.amount("image_gb");
  if (View types = f["frames"]; !types.missing()) {
    if (!types.is_list() || types.size() > 64) f.note("frames");
    s.types.emplace();
    for (size_t i = 0; i < types.size() && f.ok(); ++i) {
      auto t = types.at(i).text();
      if (!t || t->size() > kName)
        f.note("frames");
      else
        s.types->push_back(*t);
    }
  }
  if (!f["hall"].missing()) s.zone = f.text("hall", 0, kName);
  s.one_zone = f.flag("together");
  s.spread = f.flag("scatter");
  s.spot = f.flag("borrowed");
  s.estimate_s = f.amount("reckon_s");
  s.checkpoint_s = f.amount("mark_s");
  s.save_s = f.amount("stow_s");
  if (!f["due_s"].missing()) s.deadline_s = f.amount("due_s");
}

void write_spec(Packer& p, const JobSpec& s) {
  p.pack_map(
      static_cast<uint32_t>(17 + (s.types ? 1 : 0) + (s.zone ? 1 : 0) + (s.deadline_s ? 1 : 0)));
  pair(p, "id", s.id);
  pair(p, "pattern", s.job_class);
  pair(p, "guild", s.team);
  pair(p, "weave", name_of(kKinds, s.kind));
  pair(p, "urgency", name_of(kPriorities, s.priority));
  pair(p, "threads", uint64_t{s.tasks});
  pair(p, "vcpus", s.need.cpus);
  pair(p, "cards", s.need.gpus);
  pair(p, "ram_gb", s.need.memory_gb);
  pair(p, "bolt", s.image);
  pair(p, "image_gb", s.image_gb);
  if (s.types) {
    text(p, "frames");
    p.pack_array(static_cast<uint32_t>(s.types->size()));
    for (const auto& t : *s.types) text(p, t);
  }
  if (s.zone) pair(p, "hall", *s.zone);
  pair(p, "together", s.one_zone);
  pair(p, "scatter", s.spread);
  pair(p, "borrowed", s.spot);
  pair(p, "reckon_s", s.estimate_s);
  pair(p, "mark_s", s.checkpoint_s);
  pair(p, "stow_s", s.save_s);
  if (s.deadline_s) pair(p, "due_s", *s.deadline_s);
}

std::optional<TaskKey> parse_task(View v) {
  const auto t = v.text_view();
  if (!t) return std::nullopt;
  const auto slash = t->rfind('/');
  if (slash == std::string_view::npos || slash == 0) return std::nullopt;
  TaskKey key{std::string(t->substr(0, slash)), 0};
  const char* end = t->data() + t->size();
  auto [at, error] = std::from_chars(t->data() + slash + 1, end, key.task);
  if (error != std::errc() || at != end) return std::nullopt;
  return key;
}

void write_commands(Packer& p, const std::vector<Command>& commands) {
  text(p, "orders");
  p.pack_array(static_cast<uint32_t>(commands.size()));
  for (const auto& c : commands) {
    p.pack_map(c.verb == Verb::Stop ? 4 : 3);
    pair(p, "verb", name_of(kVerbs, c.verb));
    pair(p, "thread", c.key.job + "/" + std::to_string(c.key.task));
    pair(p, "try", c.attempt);
    if (c.verb == Verb::Stop) pair(p, "easing_s", c.grace_s);
  }
}

std::optional<StorePage> parse_list(std::string_view body, const char* list,
                                    std::optional<StoreItem> (*read)(View)) {
  StorePage page;
  page.document = Document::parse(body);
  if (!page.document) return std::nullopt;
  const View root = page.document->root();
  const View items = root[list];
  const auto revision = root["epoch"].count();
  if (!items.is_list() || !revision) return std::nullopt;
  page.revision = *revision;
  page.more = root["more"].flag().value_or(false);
  for (size_t i = 0; i < items.size(); ++i) {
    auto item = read(items.at(i));
    if (!item) return std::nullopt;
    page.items.push_back(std::move(*item));
  }
  return page;
}

std::optional<StoreItem> read_item(View v) {
  auto key = v["path"].text();
  auto version = v["stamp"].count();
  if (!key || !version) return std::nullopt;
  return StoreItem{*key, v["v"], *version};
}

std::optional<StoreItem> read_event(View v) {
  auto version = v["stamp"].count();
  if (!version) return std::nullopt;
  if (auto key = v["set"].text()) return StoreItem{*key, v["v"], *version};
  if (auto key = v["delete"].text()) return StoreItem{*key, View(), *version};
  return std::nullopt;
}

template <class T, class F>
std::optional<T> read_root(std::string_view body, F&& read) {
  auto document = Document::parse(body);
  if (!document) return std::nullopt;
  return read(document->root());
}

}  // namespace

std::shared_ptr<Document> Document::parse(std::string_view bytes) {
  auto d = std::make_shared<Document>();
  d->bytes_ = std::string(bytes);
  // A list's or map's header may claim 2^32 members: none can have more than there are bytes.
  const size_t most = bytes.size();
  const msgpack::unpack_limit limit(most, most, most, 0, 0, 16);
  try {
    size_t used = 0;
    d->handle_ = msgpack::unpack(
        d->bytes_.data(), d->bytes_.size(), used,
        [](msgpack::type::object_type, std::size_t, void*) { return true; }, nullptr, limit);
    if (used != bytes.size()) return nullptr;
  } catch (const msgpack::unpack_error&) {
    return nullptr;
  } catch (const std::bad_alloc&) {
    return nullptr;
  }
  return d;
}

bool valid_job_id(std::string_view id) {
  constexpr std::string_view kPrefix = "job-";
  return id.size() > kPrefix.size() && id.size() <= 64 && id.starts_with(kPrefix) &&
         std::all_of(id.begin() + kPrefix.size(), id.end(),
                     [](char c) { return c >= '0' && c <= '9'; });
}

ParsedJob parse_job(std::string_view body) {
  auto document = Document::parse(body);
  if (!document) return {std::nullopt, "not MessagePack", {}};
  if (!document->root().is_map()) return {std::nullopt, "not a map", {}};
  std::string id = document->root()["id"].text_or("");
  if (!valid_job_id(id)) id.clear();
  Fields f(document->root());
  JobSpec s;
  read_spec(f, s);
  if (!f.ok()) return {std::nullopt, f.error(), std::move(id)};
  return {std::move(s), {}, std::move(id)};
}

std::string job_answer(const std::string& id, ShownState state) {
  return build([&](Packer& p) {
    p.pack_map(2);
    pair(p, "id", id);
    pair(p, "stage", name_of(kShown, state));
  });
}

std::string job_status(const std::string& id, ShownState state, uint32_t done, uint32_t running) {
  return build([&](Packer& p) {
    p.pack_map(4);
    pair(p, "id", id);
    pair(p, "stage", name_of(kShown, state));
    pair(p, "done", uint64_t{done});
    pair(p, "running", uint64_t{running});
  });
}

std::string error_body(const std::string& error) {
  return build([&](Packer& p) {
    p.pack_map(1);
    pair(p, "error", error);
  });
}

std::optional<WorkerReport> parse_report(std::string_view body) {
  return read_root<WorkerReport>(body, [](View root) -> std::optional<WorkerReport> {
    Fields f(root);
    WorkerReport r;
    r.machine = f.text("loom", 1, 150);
    r.addr = f.text("addr", 1, 150);
    r.type = f.text("frame", 0, 150);
    r.zone = f.text("hall", 0, 150);
    r.spot = f.flag("borrowed");
    r.session = f.count("shift", 0, UINT64_MAX);
    r.seq = f.count("tally", 0, UINT64_MAX);
    r.token = f.count("baton", 0, UINT64_MAX);
    r.notice_s = root["warning_s"].number();
    const View tasks = root["threads"];
    if (!f.ok() || !tasks.is_list() || !key_safe(r.machine)) return std::nullopt;
    for (size_t i = 0; i < tasks.size(); ++i) {
      const View t = tasks.at(i);
      const auto key = parse_task(t["thread"]);
      const auto attempt = t["try"].count();
      const auto state = value_of(kTaskStates, t["stage"]);
      if (!key || !attempt || !state) return std::nullopt;
      const auto cause =
          value_of(kCauses, t["cause"])
              .value_or(*state == TaskState::Exited ? ExitCause::Error : ExitCause::None);
      r.tasks.push_back({*key, *attempt, *state, cause});
    }
    return r;
  });
}

std::string report_answer(uint64_t token, const std::vector<Command>& commands) {
  return build([&](Packer& p) {
    p.pack_map(2);
    pair(p, "baton", token);
    write_commands(p, commands);
  });
}

std::string redirect_body(const std::string& node) {
  return build([&](Packer& p) {
    p.pack_map(node.empty() ? 0 : 1);
    if (!node.empty()) pair(p, "foreman", node);
  });
}

std::string orders_body(uint64_t token, uint64_t session, const std::vector<Command>& commands) {
  return build([&](Packer& p) {
    p.pack_map(3);
    pair(p, "baton", token);
    pair(p, "shift", session);
    write_commands(p, commands);
  });
}

std::optional<std::vector<MachineType>> parse_types(std::string_view body) {
  return read_root<std::vector<MachineType>>(
      body, [](View root) -> std::optional<std::vector<MachineType>> {
        const View list = root["frames"];
        if (!list.is_list()) return std::nullopt;
        std::vector<MachineType> out;
        for (size_t i = 0; i < list.size(); ++i) {
          Fields f(list.at(i));
          MachineType t;
          t.name = f.text("sku", 1, 200);
          t.room = {f.amount("vcpus"), f["cards"].number().value_or(0), f.amount("ram_gb")};
          t.cache_gb = f.amount("local_gb");
          t.fetch_gb_per_s = f.amount("fetch_gb_per_s");
          t.price = f.amount("hourly");
          t.spot_price = f["market_price"].number().value_or(t.price);
          t.boot_s = f.amount("boot_s");
          const View zones = f["halls"];
          for (size_t z = 0; z < zones.size(); ++z) t.zones.push_back(zones.at(z).text_or(""));
          if (!f.ok()) return std::nullopt;
          out.push_back(std::move(t));
        }
        return out;
      });
}

std::optional<MachinePage> parse_machines(std::string_view body) {
  return read_root<MachinePage>(body, [](View root) -> std::optional<MachinePage> {
    const View list = root["looms"];
    if (!list.is_list()) return std::nullopt;
    MachinePage page;
    page.more = root["more"].flag().value_or(false);
    for (size_t i = 0; i < list.size(); ++i) {
      Fields f(list.at(i));
      ListedMachine m;
      m.id = f.text("id", 1, 150);
      m.addr = f["addr"].text_or("");
      m.type = f.text("frame", 0, 150);
      m.zone = f.text("hall", 0, 150);
      m.spot = f.flag("borrowed");
      m.state = f.choice("stage", kListed);
      m.age_s = f["age_s"].number().value_or(0);
      if (!f.ok()) return std::nullopt;
      page.machines.push_back(std::move(m));
    }
    return page;
  });
}

std::string machines_path(const std::string& after, int limit) {
  return std::string(path::kMachines) + "?most=" + std::to_string(limit) +
         (after.empty() ? "" : "&after=" + after);
}

std::string rent_body(const std::string& request, const std::string& type, const std::string& zone,
                      bool spot, int count) {
  return build([&](Packer& p) {
    p.pack_map(5);
    pair(p, "hire", request);
    pair(p, "frame", type);
    pair(p, "hall", zone);
    pair(p, "borrowed", spot);
    pair(p, "how_many", uint64_t(count));
  });
}

std::optional<std::vector<std::string>> parse_rented(std::string_view body) {
  return read_root<std::vector<std::string>>(
      body, [](View root) -> std::optional<std::vector<std::string>> {
        const View list = root["looms"];
        if (!list.is_list()) return std::nullopt;
        std::vector<std::string> out;
        for (size_t i = 0; i < list.size(); ++i)
          if (auto id = list.at(i).text()) out.push_back(*id);
        return out;
      });
}

std::string release_body(const std::vector<std::string>& machines) {
  return build([&](Packer& p) {
    p.pack_map(1);
    text(p, "looms");
    p.pack_array(static_cast<uint32_t>(machines.size()));
    for (const auto& m : machines) text(p, m);
  });
}

std::optional<StorePage> parse_page(std::string_view body) {
  return parse_list(body, "items", read_item);
}

std::optional<StorePage> parse_changes(std::string_view body) {
  return parse_list(body, "log", read_event);
}

std::optional<StorePage> parse_item(std::string_view body) {
  StorePage page;
  page.document = Document::parse(body);
  if (!page.document) return std::nullopt;
  auto item = read_item(page.document->root());
  if (!item) return std::nullopt;
  page.items.push_back(*item);
  return page;
}

std::optional<uint64_t> parse_revision(std::string_view body) {
  return read_root<uint64_t>(body, [](View root) { return root["epoch"].count(); });
}

std::vector<std::string> parse_failed(std::string_view body) {
  std::vector<std::string> out;
  const auto document = Document::parse(body);
  if (!document) return out;
  const View failed = document->root()["failed"];
  for (size_t i = 0; i < failed.size(); ++i) out.push_back(failed.at(i).text_or(""));
  return out;
}

std::optional<uint64_t> parse_lease(std::string_view body) {
  return read_root<uint64_t>(body, [](View root) { return root["charter"].count(); });
}

std::string grant_body(uint64_t ttl_ms) {
  return build([&](Packer& p) {
    p.pack_map(1);
    pair(p, "life_ms", ttl_ms);
  });
}

std::string grant_path(uint64_t lease) {
  return std::string(path::kGrants) + "/" + std::to_string(lease);
}
std::string renew_path(uint64_t lease) {
  return grant_path(lease) + "/renew";
}
std::string item_path(const std::string& key) {
  return std::string(path::kStore) + "/" + key;
}

std::string page_path(const std::string& prefix, const std::string& after, int limit) {
  return std::string(path::kStore) + "?under=" + prefix + "&most=" + std::to_string(limit) +
         (after.empty() ? "" : "&after=" + after);
}

std::string changes_path(const std::string& prefix, uint64_t after, uint64_t wait_ms) {
  return std::string(path::kChanges) + "?under=" + prefix + "&after=" + std::to_string(after) +
         "&block_ms=" + std::to_string(wait_ms);
}

std::string transaction_body(const std::vector<Guard>& guards, const std::vector<Change>& changes) {
  Buffer buffer;
  Packer p(buffer);
  p.pack_map(2);
  text(p, "guards");
  p.pack_array(static_cast<uint32_t>(guards.size()));
  for (const auto& g : guards) {
    p.pack_map(2);
    pair(p, "path", g.key);
    pair(p, "stamp", g.version);
  }
  text(p, "apply");
  p.pack_array(static_cast<uint32_t>(changes.size()));
  for (const auto& c : changes) {
    if (c.value.empty()) {
      p.pack_map(1);
      pair(p, "delete", c.key);
      continue;
    }
    p.pack_map(c.lease ? 3 : 2);
    pair(p, "set", c.key);
    text(p, "v");
    buffer.write(c.value.data(), c.value.size());
    if (c.lease) pair(p, "charter", c.lease);
  }
  return std::string(buffer.data(), buffer.size());
}

std::string encode_job(const JobRecord& r) {
  return build([&](Packer& p) {
    p.pack_map(r.hosts ? 6 : 5);
    text(p, "spec");
    write_spec(p, r.spec);
    pair(p, "state", name_of(kJobStates, r.state));
    pair(p, "started", r.started);
    if (r.hosts) {
      text(p, "hosts");
      p.pack_array(static_cast<uint32_t>(r.hosts->size()));
      for (const auto& host : *r.hosts) text(p, host);
    }
    pair(p, "at_ms", r.submitted_ms);
    text(p, "done");
    const auto lengths = r.done.to_lengths();
    p.pack_array(static_cast<uint32_t>(lengths.size()));
    for (uint32_t n : lengths) p.pack_uint32(n);
  });
}

std::optional<JobRecord> decode_job(View v) {
  JobRecord r;
  const View spec = v["spec"], lengths = v["done"];
  if (!spec.is_map() || !lengths.is_list()) return std::nullopt;
  Fields f(spec);
  read_spec(f, r.spec);
  if (!f.ok()) return std::nullopt;
  const auto state = value_of(kJobStates, v["state"]);
  const auto started = v["started"].flag();
  const auto at = v["at_ms"].count();
  if (!state || !started || !at) return std::nullopt;
  r.state = *state;
  r.started = *started;
  r.submitted_ms = *at;
  if (const View hosts = v["hosts"]; hosts.is_list()) {
    r.hosts.emplace();
    for (size_t i = 0; i < hosts.size(); ++i) r.hosts->push_back(hosts.at(i).text_or(""));
    if (!std::is_sorted(r.hosts->begin(), r.hosts->end())) return std::nullopt;
  }
  std::vector<uint32_t> numbers;
  for (size_t i = 0; i < lengths.size(); ++i)
    numbers.push_back(static_cast<uint32_t>(lengths.at(i).count().value_or(UINT32_MAX)));
  if (!Ranges::from_lengths(numbers, r.spec.tasks, r.done)) return std::nullopt;
  return r;
}

std::string encode_finished(JobState state, uint32_t done) {
  return build([&](Packer& p) {
    p.pack_map(2);
    pair(p, "state", name_of(kJobStates, state));
    pair(p, "done", uint64_t{done});
  });
}

std::optional<FinishedRecord> decode_finished(View v) {
  const auto state = value_of(kJobStates, v["state"]);
  const auto done = v["done"].count();
  if (!state || !done) return std::nullopt;
  return FinishedRecord{*state, static_cast<uint32_t>(*done)};
}

std::string encode_host(const HostRecord& h) {
  return build([&](Packer& p) {
    p.pack_map(5);
    pair(p, "id", h.id);
    pair(p, "addr", h.addr);
    pair(p, "type", h.type);
    pair(p, "zone", h.zone);
    pair(p, "spot", h.spot);
  });
}

std::optional<HostRecord> decode_host(View v) {
  const auto id = v["id"].text(), addr = v["addr"].text(), type = v["type"].text(),
             zone = v["zone"].text();
  const auto spot = v["spot"].flag();
  if (!id || !addr || !type || !zone || !spot) return std::nullopt;
  return HostRecord{*id, *addr, *type, *zone, *spot};
}

std::string encode_leader(const LeaderRecord& r) {
  return build([&](Packer& p) {
    p.pack_map(4);
    pair(p, "node", r.node);
    pair(p, "nonce", r.nonce);
    pair(p, "term", r.term);
    pair(p, "lease", r.lease);
  });
}

std::optional<LeaderRecord> decode_leader(View v) {
  const auto node = v["node"].text();
  const auto nonce = v["nonce"].count(), term = v["term"].count();
  if (!node || !nonce || !term) return std::nullopt;
  return LeaderRecord{*node, *nonce, *term, v["lease"].count().value_or(0)};
}

std::string encode_heartbeat(const Heartbeat& heartbeat) {
  return build([&](Packer& p) {
    p.pack_map(heartbeat.delegation ? 11 : 10);
    pair(p, "node", heartbeat.node);
    pair(p, "term", heartbeat.term);
    pair(p, "leading", heartbeat.leading);
    pair(p, "served", heartbeat.served);
    pair(p, "part", static_cast<uint64_t>(heartbeat.part));
    const auto& status = heartbeat.status;
    text(p, "status");
    p.pack_array(status.ago ? 4 : 3);
    p.pack_uint64(status.process), p.pack_uint64(status.term), p.pack_uint64(status.number);
    if (status.ago) p.pack_double(*status.ago);
    if (heartbeat.delegation) {
      text(p, "delegation");
      p.pack_array(3);
      p.pack_uint64(heartbeat.delegation->term), p.pack_uint64(heartbeat.delegation->number);
      p.pack_double(heartbeat.delegation->for_s);
    }
    text(p, "counts");
    p.pack_array(static_cast<uint32_t>(heartbeat.counts.size()));
    for (const auto& c : heartbeat.counts) {
      p.pack_array(3);
      text(p, c.job);
      p.pack_uint32(c.done);
      p.pack_uint32(c.running);
    }
    // Each image is named once; a machine's line then holds numbers.
    std::map<std::string_view, std::vector<const HeldImage*>> held;
    for (const auto& i : heartbeat.images) held[i.machine].push_back(&i);
    std::map<std::pair<std::string_view, double>, uint32_t> numbers;
    std::vector<std::pair<std::string_view, double>> images;
    for (const auto& [machine, list] : held)
      for (const HeldImage* i : list)
        if (numbers.try_emplace({i->image, i->gb}, images.size()).second)
          images.emplace_back(i->image, i->gb);
    text(p, "images");
    p.pack_array(static_cast<uint32_t>(images.size()));
    for (const auto& [image, gb] : images) {
      p.pack_array(2);
      text(p, image);
      p.pack_double(gb);
    }
    text(p, "held");
    p.pack_array(static_cast<uint32_t>(held.size()));
    for (const auto& [machine, list] : held) {
      p.pack_array(static_cast<uint32_t>(list.size() + 1));
      text(p, machine);
      for (const HeldImage* i : list) p.pack_uint32(numbers.at({i->image, i->gb}));
    }
    text(p, "booting");
    p.pack_array(static_cast<uint32_t>(heartbeat.booting.size()));
    for (const auto& m : heartbeat.booting) {
      p.pack_array(5);
      text(p, m.id), text(p, m.type), text(p, m.zone);
      m.spot ? p.pack_true() : p.pack_false();
      p.pack_double(m.age_s);
    }
  });
}

std::string encode_heartbeat_within(Heartbeat heartbeat, size_t limit) {
  for (;;) {
    std::string body = encode_heartbeat(heartbeat);
    const bool bare =
        heartbeat.counts.empty() && heartbeat.images.empty() && heartbeat.booting.empty();
    if (body.size() <= limit || bare) return body;
    auto shorten = [share = 0.9 * static_cast<double>(limit) /
                            static_cast<double>(body.size())](auto& list) {
      list.resize(static_cast<size_t>(share * static_cast<double>(list.size())));
    };
    shorten(heartbeat.counts), shorten(heartbeat.images), shorten(heartbeat.booting);
  }
}

namespace {

DelegateStatus decode_status(View v) {
  DelegateStatus status;
  if (v.size() < 3 || v.size() > 4) return status;
  status.process = v.at(0).count().value_or(0);
  status.term = v.at(1).count().value_or(0);
  status.number = v.at(2).count().value_or(0);
  if (v.size() == 4) status.ago = v.at(3).number();
  return status;
}

std::optional<Delegation> decode_delegation(View v) {
  if (v.size() != 3 || !v.at(0).count() || !v.at(1).count() || !v.at(2).number())
    return std::nullopt;
  return Delegation{*v.at(0).count(), *v.at(1).count(), *v.at(2).number()};
}

}  // namespace

std::optional<Heartbeat> decode_heartbeat(std::string_view body) {
  return read_root<Heartbeat>(body, [](View root) -> std::optional<Heartbeat> {
    Heartbeat heartbeat;
    const auto node = root["node"].text();
    const auto term = root["term"].count();
    const auto leading = root["leading"].flag();
    const View counts = root["counts"];
    if (!node || !term || !leading || !counts.is_list()) return std::nullopt;
    heartbeat.node = *node;
    heartbeat.term = *term;
    heartbeat.leading = *leading;
    heartbeat.served = root["served"].flag().value_or(false);
    const auto part = root["part"].count().value_or(0);
    if (part > static_cast<uint64_t>(HeartbeatPart::Hints)) return std::nullopt;
    heartbeat.part = static_cast<HeartbeatPart>(part);
    heartbeat.status = decode_status(root["status"]);
    heartbeat.delegation = decode_delegation(root["delegation"]);
    for (size_t i = 0; i < counts.size(); ++i) {
      const View c = counts.at(i);
      if (c.size() != 3 || !c.at(0).text() || !c.at(1).count() || !c.at(2).count())
        return std::nullopt;
      heartbeat.counts.push_back({*c.at(0).text(), static_cast<uint32_t>(*c.at(1).count()),
                                  static_cast<uint32_t>(*c.at(2).count())});
    }
    const View images = root["images"], held = root["held"];
    for (size_t i = 0; i < held.size(); ++i) {
      const View line = held.at(i);
      const auto machine = line.size() > 0 ? line.at(0).text() : std::nullopt;
      if (!machine) return std::nullopt;
      for (size_t k = 1; k < line.size(); ++k) {
        const auto number = line.at(k).count();
        if (!number || *number >= images.size()) return std::nullopt;
        const View image = images.at(*number);
        if (image.size() != 2 || !image.at(0).text() || !image.at(1).number()) return std::nullopt;
        heartbeat.images.push_back({*machine, *image.at(0).text(), *image.at(1).number()});
      }
    }
    const View booting = root["booting"];
    for (size_t i = 0; i < booting.size(); ++i) {
      const View m = booting.at(i);
      if (m.size() != 5 || !m.at(0).text() || !m.at(1).text() || !m.at(2).text() ||
          !m.at(3).flag() || !m.at(4).number())
        return std::nullopt;
      heartbeat.booting.push_back({*m.at(0).text(), "", *m.at(1).text(), *m.at(2).text(),
                                   *m.at(3).flag(), ListedMachine::State::Booting,
                                   *m.at(4).number()});
    }
    return heartbeat;
  });
}

}  // namespace sumacquay::wire
