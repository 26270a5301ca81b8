// Tests of the front ends of three nodes that share a fake key-value store, over loopback.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <utility>

#include "frontend/frontend.h"
#include "node/record_writer.h"
#include "wire/json_size.h"

namespace sumacquay {
namespace {

/// A fake key-value store: keys, versions and a log of changes. Each node has an endpoint of its
/// own, so that faults can affect one node alone. Watches are held until a test ends them, so nodes
/// read changes only through the read barrier.
class StateStandIn {
 public:
  struct Door {
    Door(asio::io_context& io, StateStandIn& s)
        : server(io, Endpoint{"127.0.0.1", 0}, HttpLimits{},
                 [this, &s](const HttpRequest& r, Respond respond) {
                   s.handle(*this, r, std::move(respond));
                 }) {}
    /// Answers all held watches, as the store does if it has dropped the changes they ask for.
    void end_watches(int status) {
      for (auto& w : std::exchange(watches, {})) w({status, {}, 0});
    }
    HttpServer server;
    int status = 0;           ///< if not 0: answers every request with it, executes none
    bool silent = false;      ///< executes and answers no request
    bool lists_wait = false;  ///< rejects lists, so that a loading cache keeps loading
    bool items_wait = false;  ///< rejects reads of single keys
    std::vector<Respond> watches;
  };

  explicit StateStandIn(asio::io_context& io) : io_(io) {}

  Door& open() { return doors_.emplace_back(io_, *this); }

  bool refuse = false;
  int lost_answers = 0;  ///< so many transactions are executed without an answer
  int late_writes = 0;   ///< so many transactions are executed later, without an answer
  int held_answers = 0;  ///< so many transactions are executed at once and answered later
  bool log_backwards = false;
  size_t most_value_bytes = 8192;  ///< in JSON form; tests may lower it at any time
  size_t most_changes = 24;
  int transactions = 0;  ///< evaluated so far, including rejected ones
  /// Called before each request is handled, until it returns true.
  std::function<bool(const HttpRequest&)> before;
  uint64_t revision = 1;
  struct Key {
    std::string value;  ///< encoded
    uint64_t version = 0;
  };
  std::map<std::string, Key> keys;

  int carry_out_late() {
    int done = 0;
    for (const auto& r : std::exchange(late_, {})) {
      msgpack::sbuffer out;
      Packer p(out);
      done += compare_and_swap(r, p) == 200;
    }
    return done;
  }
  void answer_held() {
    for (auto& h : std::exchange(held_, {})) h();
  }
  void set(const std::string& key, const std::string& value) {
    keys[key] = {value, revision};
    log_.push_back({key, value, revision, false});
  }
  void erase(const std::string& key) {
    keys.erase(key);
    log_.push_back({key, "", revision, true});
  }
  bool has(const std::string& key) const { return keys.contains(key); }

 private:
  using Packer = msgpack::packer<msgpack::sbuffer>;
  struct Event {
    std::string key, value;
    uint64_t version;
    bool gone;
  };

  static std::string argument(const std::string& query, const std::string& name) {
    const auto at = ("&" + query).find("&" + name + "=");
    if (at == std::string::npos) return "";
    const auto from = at + name.size() + 1;
    return query.substr(from, query.find('&', from) - from);
  }

  static void item(Packer& p, const std::string& name, const std::string& key,
                   const std::string& value, uint64_t version) {
    p.pack_map(value.empty() ? 2 : 3);
    p.pack(name), p.pack(key);
    if (!value.empty())
      p.pack(std::string("v")), p.pack(msgpack::unpack(value.data(), value.size()).get());
    p.pack(std::string("stamp")), p.pack(version);
  }

  void handle(Door& door, const HttpRequest& r, Respond respond) {
    if (before && before(r)) before = nullptr;
    if (door.silent) return;
    if (door.status) return respond({door.status, {}, 0});
    if (refuse) return respond({503, {}, 0});
    msgpack::sbuffer out;
    Packer p(out);
    int status = 200;
    if (r.path == "/multi") {
      if (late_writes > 0) return --late_writes, late_.push_back(r);
      status = compare_and_swap(r, p);
      if (lost_answers > 0) return void(--lost_answers);
      if (held_answers > 0) {
        --held_answers;
        held_.emplace_back([respond, status, body = std::string(out.data(), out.size())] {
          respond({status, body, 0});
        });
        return;
      }
    } else if (r.path == "/changes") {
      if (argument(r.query, "block_ms") != "0") return door.watches.push_back(std::move(respond));
      changes(p, argument(r.query, "under"), std::stoull(argument(r.query, "after")));
    } else if (r.path == "/store") {
      if (door.lists_wait) return respond({503, {}, 0});
      list(p, argument(r.query, "under"));
    } else {
      if (door.items_wait) return respond({503, {}, 0});
      const std::string key = r.path.substr(std::string("/store/").size());
      status = keys.contains(key) ? 200 : 404;
      if (status == 200)
        item(p, "path", key, keys[key].value, keys[key].version);
      else
        p.pack_map(0);
    }
    respond({status, {out.data(), out.size()}, 0});
  }

  void changes(Packer& p, const std::string& under, uint64_t after) {
    std::vector<Event> found;
    for (const auto& e : log_)
      if (e.key.starts_with(under) && e.version > after) found.push_back(e);
    if (log_backwards) std::reverse(found.begin(), found.end());
    head(p, "log", found.size());
    for (const auto& e : found) item(p, e.gone ? "delete" : "set", e.key, e.value, e.version);
  }

  void list(Packer& p, const std::string& under) {
    std::vector<std::string> found;
    for (const auto& [key, v] : keys)
      if (key.starts_with(under)) found.push_back(key);
    head(p, "items", found.size());
    for (const auto& key : found) item(p, "path", key, keys[key].value, keys[key].version);
  }

  void head(Packer& p, const char* name, size_t count) const {
    p.pack_map(2);
    p.pack(std::string("epoch")), p.pack(revision);
    p.pack(std::string(name));
    p.pack_array(static_cast<uint32_t>(count));
  }

  bool too_large(wire::View apply) const {
    if (apply.size() > most_changes) return true;
    for (size_t i = 0; i < apply.size(); ++i)
      if (wire::json_size(apply.at(i)["v"]) > most_value_bytes) return true;
    return false;
  }

  int compare_and_swap(const HttpRequest& r, Packer& p) {
    const auto document = wire::Document::parse(r.body);
    const auto preconditions = document->root()["guards"];
    const auto apply = document->root()["apply"];
    ++transactions;
    if (too_large(apply)) return p.pack_map(0), 400;
    bool holds = true;
    for (size_t i = 0; i < preconditions.size(); ++i) {
      const auto it = keys.find(*preconditions.at(i)["path"].text());
      holds = holds &&
              (it == keys.end() ? 0 : it->second.version) == *preconditions.at(i)["stamp"].count();
    }
    p.pack_map(1);
    p.pack(std::string("epoch")), p.pack(holds ? ++revision : revision);
    if (!holds) return 409;
    const auto whole = msgpack::unpack(r.body.data(), r.body.size());
    std::map<std::string, msgpack::object> body;
    whole.get().convert(body);
    std::vector<std::map<std::string, msgpack::object>> list;
    body.at("apply").convert(list);
    for (size_t i = 0; i < apply.size(); ++i) {
      if (const auto gone = apply.at(i)["delete"].text()) {
        erase(*gone);
        continue;
      }
      msgpack::sbuffer value;
      msgpack::pack(value, list[i].at("v"));
      set(*apply.at(i)["set"].text(), {value.data(), value.size()});
    }
    return 200;
  }

  asio::io_context& io_;
  std::deque<Door> doors_;
  std::vector<Event> log_;
  std::vector<HttpRequest> late_;
  std::vector<std::function<void()>> held_;
};

using Fields = std::map<std::string, msgpack::object>;

/// A valid submission, whose fields `change` may alter.
std::string submission(const std::string& id, const std::function<void(Fields&)>& change = {}) {
  JobRecord r;
  r.spec.id = id;
  r.spec.team = "t";
  r.spec.request = {1, 1, 1};
  const std::string bytes = wire::encode_job(r);
  const auto whole = msgpack::unpack(bytes.data(), bytes.size());
  Fields fields;
  whole.get().via.map.ptr[0].val.convert(fields);
  if (change) change(fields);
  msgpack::sbuffer body;
  msgpack::pack(body, fields);
  return {body.data(), body.size()};
}

std::string lacking(const std::string& id, const std::string& field) {
  return submission(id, [&](Fields& f) { f.erase(field); });
}

/// A well-formed submission that exceeds the size limit of records.
std::string oversized(const std::string& id) {
  static msgpack::zone zone;
  return submission(id, [](Fields& f) {
    std::vector<std::string> types(60, std::string(190, 'x'));
    types.emplace_back("g");
    f["frames"] = msgpack::object(types, zone);
  });
}

/// A submission whose tasks fit no machine type.
std::string unfit(const std::string& id) {
  return submission(id, [](Fields& f) { f["vcpus"] = msgpack::object(1e6); });
}

/// A submission that depends on other jobs.
std::string submission_after(const std::string& id, const std::vector<std::string>& dependencies) {
  static msgpack::zone zone;
  return submission(id, [&](Fields& f) { f["awaits"] = msgpack::object(dependencies, zone); });
}

/// The limit on user requests that a front end handles concurrently.
constexpr size_t kMostInProgress = 42;

struct TwoNodes : ::testing::Test {
  asio::io_context io;
  StateStandIn state{io};
  struct Side {
    StateStandIn::Door* door = nullptr;
    Settings settings;
    std::vector<MachineType> types;
    std::unique_ptr<KeyValueStoreClient> store;
    std::unique_ptr<RecordCache> record_cache;
    std::unique_ptr<Frontend> frontend;
  };
  Side a, b, c;
  std::vector<Side*> all{&a, &b, &c};

  TwoNodes() {
    for (Side* s : all) {
      prepare(*s);
      s->record_cache->start();
      until([s] { return s->record_cache->loaded(); });
    }
  }

  void prepare(Side& s, size_t finished_kept = RecordCache::kFinishedKept) {
    if (!s.door) s.door = &state.open();
    s.settings.state = {"127.0.0.1", s.door->server.port()};
    s.settings.teams = {TeamSettings{"t", 0, 0, 0, 0}};
    s.settings.state_rps = 1000, s.settings.state_write_rps = 300;  // avoids rate limiting
    MachineType g;
    g.name = "g";
    g.capacity = {8, 8, 64};
    g.zones = {"e"};
    s.types = {g};
    s.frontend.reset(), s.record_cache.reset(), s.store.reset();
    s.store = std::make_unique<KeyValueStoreClient>(io, s.settings);
    s.record_cache = std::make_unique<RecordCache>(io, s.settings, *s.store, finished_kept);
    s.frontend = std::make_unique<Frontend>(
        s.settings, kMostInProgress, *s.store, *s.record_cache,
        Frontend::Sources{[&s]() -> const std::vector<MachineType>& { return s.types; },
                          [](const std::string& id) {
                            return wire::JobProgress{id, 0, 0};
                          },
                          [] { return uint64_t{1}; }});
  }

  void until(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!done() && std::chrono::steady_clock::now() < end)
      io.run_one_for(std::chrono::milliseconds(20));
    ASSERT_TRUE(done());
  }

  static std::string text(const HttpReply& reply) {
    const auto d = wire::Document::parse(reply.body);
    return std::to_string(reply.status) + (d ? " " + d->root()["stage"].text_or("") : "");
  }

  /// The reply's status and job state; empty until the reply has arrived.
  using Answer = std::shared_ptr<std::string>;
  Answer begin(Side& s, const std::string& method, const std::string& path, std::string body = "",
               const std::function<void()>& then = {}) {
    auto answer = std::make_shared<std::string>();
    EXPECT_TRUE(
        s.frontend->handle({method, path, "", std::move(body)}, [answer, then](const HttpReply& r) {
          EXPECT_TRUE(answer->empty()) << "second reply; the first was " << *answer;
          *answer = text(r);
          if (then) then();
        }));
    return answer;
  }

  std::string ask(Side& s, const std::string& method, const std::string& path,
                  std::string body = "") {
    const auto answer = begin(s, method, path, std::move(body));
    until([&] { return !answer->empty(); });
    return *answer;
  }

  void expect_all(const std::string& id, const std::string& answer, const std::string& when) {
    for (Side* s : all) {
      EXPECT_EQ(ask(*s, "GET", "/work/" + id), answer) << id << " " << when;
      EXPECT_EQ(ask(*s, "POST", "/work", submission(id)), answer) << id << " " << when;
    }
  }

  /// Moves a job to the finished records, as a leader does after the job's last task has ended, if
  /// the live record still has the version in the node's cache.
  TransactionOutcome finish(Side& s, const std::string& id) {
    const auto* known = s.record_cache->live(id);
    if (!known) return TransactionOutcome::PreconditionFailed;
    const JobState end =
        known->value.state == JobState::Pending ? JobState::Done : known->value.state;
    std::optional<TransactionResult> result;
    const std::string live = keys::kLive + id;
    s.store->compare_and_swap(
        RequestPriority::Record, {{live, known->version}},
        {{live, "", 0}, {keys::kFinished + id, wire::encode_finished({end, 1}), 0}},
        [&](const TransactionResult& t) { result = t; });
    until([&] { return result.has_value(); });
    if (result->outcome == TransactionOutcome::Committed)
      s.record_cache->wrote_finished(id, {end, 1}, result->revision);
    return result->outcome;
  }

  /// Moves a job to the finished records directly in the store, as a concurrent write by another
  /// node.
  void finish_there(const std::string& id, JobState end = JobState::Done) {
    ++state.revision;
    state.erase(keys::kLive + id);
    state.set(keys::kFinished + id, wire::encode_finished({end, 1}));
  }
};

TEST_F(TwoNodes, NoNodeGivesAnOlderAnswerThanAnyNodeGave) {
  EXPECT_EQ(ask(a, "GET", "/work/job-1"), "404 ");
  EXPECT_EQ(ask(a, "POST", "/work", submission("job-1")), "201 pending");
  EXPECT_EQ(ask(b, "GET", "/work/job-1"), "200 pending")
      << "node b reads the new job through the read barrier";
  EXPECT_EQ(ask(b, "POST", "/work", submission("job-1")), "200 pending");
  EXPECT_EQ(ask(b, "POST", "/work/job-1/cancel"), "200 cancelled");
  EXPECT_EQ(ask(a, "GET", "/work/job-1"), "200 cancelled");
  EXPECT_EQ(ask(a, "POST", "/work", submission("job-1")), "200 cancelled");
  EXPECT_EQ(ask(a, "POST", "/work/job-2/cancel"), "404 ") << "job-2 was never submitted";
  EXPECT_EQ(ask(a, "POST", "/work", "x"), "400 ");
}

TEST_F(TwoNodes, AnAcceptanceWithoutAnAnswerIsFoundByTheRetry) {
  state.lost_answers = 1;
  EXPECT_EQ(ask(a, "POST", "/work", submission("job-7")), "503 ");
  EXPECT_EQ(ask(a, "POST", "/work", submission("job-7")), "200 pending");
}

TEST_F(TwoNodes, WithoutTheStateServiceNothingOldIsTold) {
  EXPECT_EQ(ask(a, "POST", "/work", submission("job-1")), "201 pending");
  state.refuse = true;
  EXPECT_EQ(ask(a, "GET", "/work/job-1"), "503 ")
      << "job-1 may have been cancelled through another node";
  EXPECT_EQ(ask(b, "GET", "/work/job-9"), "503 ") << "job-9 may have been accepted by another node";
  EXPECT_EQ(ask(b, "POST", "/work", submission("job-9")), "503 ");
}

// Rejected submissions.

TEST_F(TwoNodes, NoRefusalComesForAnAcceptedJob) {
  prepare(b, 1);  // the cache keeps only one finished job
  b.record_cache->start();
  until([&] { return b.record_cache->loaded(); });
  c.types[0].capacity = {0, 0, 0};
  for (const char* id : {"job-1", "job-2", "job-3"})
    EXPECT_EQ(ask(a, "POST", "/work", submission(id)), "201 pending");
  const auto refusable = [](const std::string& id) {
    return std::vector{unfit(id), lacking(id, "guild"), oversized(id),
                       submission(id, [](Fields& f) { f["guild"] = f["id"]; })};
  };
  // The cache of a node without earlier requests lacks the job: a read barrier updates it first.
  EXPECT_EQ(ask(c, "POST", "/work", submission("job-1")), "200 pending");
  EXPECT_EQ(ask(b, "POST", "/work", unfit("job-1")), "200 pending");
  for (Side* s : all)
    for (const auto& body : refusable("job-2"))
      EXPECT_EQ(ask(*s, "POST", "/work", body), "200 pending");
  for (const char* id : {"job-1", "job-2", "job-3"}) finish_there(id);
  for (Side* s : all)
    for (const char* id : {"job-1", "job-2", "job-3"})
      for (const auto& body : refusable(id)) EXPECT_EQ(ask(*s, "POST", "/work", body), "200 done");
}

TEST_F(TwoNodes, ANodeThatHasNotHeardOfAJobRefusesNothingOfIt) {
  const std::vector<std::function<std::string(const std::string&)>> bodies{
      unfit, oversized, [](const std::string& id) { return lacking(id, "threads"); }};
  for (size_t i = 0; i < bodies.size(); ++i) {
    const std::string id = "job-" + std::to_string(i);
    EXPECT_EQ(ask(a, "POST", "/work", submission(id)), "201 pending");
    EXPECT_EQ(ask(b, "POST", "/work", bodies[i](id)), "200 pending") << "body " << i;
  }
}

TEST_F(TwoNodes, WithoutMachineTypesAKnownJobIsStillKnown) {
  c.types.clear();
  EXPECT_EQ(ask(c, "POST", "/work", submission("job-1")), "503 ");
  EXPECT_EQ(ask(a, "POST", "/work", submission("job-1")), "201 pending");
  EXPECT_EQ(ask(c, "POST", "/work", submission("job-1")), "200 pending");
}

TEST_F(TwoNodes, NothingIsRefusedWhileNobodyKnowsWhetherItWasAccepted) {
  state.refuse = true;
  for (const auto& body : {unfit("job-1"), lacking("job-1", "vcpus"), oversized("job-1")})
    EXPECT_EQ(ask(a, "POST", "/work", body), "503 ");
  const std::string none = lacking("job-1", "id");
  const std::string invalid =
      submission("job-1", [](Fields& f) { f["id"] = msgpack::object(int64_t{7}); });
  for (const auto& body : {none, invalid, std::string("x"), std::string()})
    EXPECT_EQ(ask(a, "POST", "/work", body), "400 ") << "without a valid id it is no accepted job";
}

TEST_F(TwoNodes, ANodeThatLoadsRefusesNothing) {
  Side d;
  prepare(d);
  d.door->lists_wait = true;
  d.record_cache->start();
  EXPECT_EQ(ask(a, "POST", "/work", submission("job-1")), "201 pending");
  for (const auto& body :
       {submission("job-1"), unfit("job-1"), lacking("job-1", "vcpus"), oversized("job-1")})
    EXPECT_EQ(ask(d, "POST", "/work", body), "503 ");
  EXPECT_EQ(ask(d, "GET", "/work/job-1"), "503 ");
  EXPECT_EQ(ask(d, "POST", "/work/job-1/cancel"), "503 ");
  EXPECT_EQ(ask(d, "POST", "/work", "x"), "400 ");
  d.door->lists_wait = false;
  until([&] { return d.record_cache->loaded(); });
  for (const auto& body : {unfit("job-1"), lacking("job-1", "vcpus"), oversized("job-1")})
    EXPECT_EQ(ask(d, "POST", "/work", body), "200 pending");
}

TEST_F(TwoNodes, WhatCannotRunOrLacksAFieldIsNeverAccepted) {
  for (const char* field : {"id", "guild", "weave", "urgency", "threads", "vcpus", "cards",
                            "ram_gb", "together", "scatter", "borrowed"})
    EXPECT_EQ(ask(a, "POST", "/work", lacking("job-1", field)), "400 ")
        << "missing field " << field;
  EXPECT_EQ(ask(a, "POST", "/work", oversized("job-1")), "400 ");
  EXPECT_EQ(ask(a, "POST", "/work", unfit("job-1")), "422 ");
  EXPECT_EQ(ask(b, "POST", "/work", unfit("job-1")), "422 ");
  EXPECT_FALSE(state.has(keys::kLive + "job-1"));
  for (Side* s : all) {
    EXPECT_EQ(ask(*s, "GET", "/work/job-1"), "404 ");
    EXPECT_EQ(ask(*s, "POST", "/work/job-1/cancel"), "404 ");
  }
}

// Concurrent requests.

/// Sends requests to all nodes continuously and checks that no answer is older than the newest one
/// received before its request was sent.
struct Pollers {
  Pollers(TwoNodes& t, std::string id) : t(t), id(std::move(id)) {
    for (size_t i = 0; i < t.all.size(); ++i) again(i);
  }
  static int rank(const std::string& answer) {
    if (answer.starts_with("404")) return 0;
    if (answer.ends_with("pending") || answer.ends_with("running")) return 1;
    return answer.ends_with("done") || answer.ends_with("cancelled") ? 2 : -1;
  }
  void told(const std::string& answer, int floor) {
    const int r = rank(answer);
    if (r < 0) return;  // not an answer about the job, such as 503
    EXPECT_GE(r, floor) << "older answer about " << id << ": " << answer;
    newest = std::max(newest, r);
    if (r == 2) {
      if (final.empty()) final = answer;
      EXPECT_EQ(answer, final);
    }
  }
  void again(size_t i) {
    if (stopped) return;
    ++asked;
    const int floor = newest;
    const bool repeats = floor > 0 && asked % 3 == 0;
    auto answer = std::make_shared<TwoNodes::Answer>();
    *answer = t.begin(*t.all[i], repeats ? "POST" : "GET", repeats ? "/work" : "/work/" + id,
                      repeats ? submission(id) : "", [this, answer, floor, i] {
                        asio::post(t.io, [this, answer, floor, i] {
                          told(**answer, floor);
                          ++answered;
                          again(i);
                        });
                      });
  }
  /// Waits for three more answers per node, on average.
  void more() {
    const int enough = answered + 3 * static_cast<int>(t.all.size());
    t.until([&] { return answered >= enough; });
  }
  void stop() {
    stopped = true;
    t.until([&] { return answered == asked; });
  }
  TwoNodes& t;
  std::string id, final;
  int newest = 0, asked = 0, answered = 0;
  bool stopped = false;
};

TEST_F(TwoNodes, NobodyTellsAnythingOlderWhenAllAreAskedAtOnce) {
  for (const bool cancelled : {false, true}) {
    const std::string id = cancelled ? "job-2" : "job-1";
    Pollers p(*this, id);
    p.more();
    p.told(ask(b, "POST", "/work", submission(id)), 0);
    p.more();
    EXPECT_EQ(p.newest, 1);
    if (cancelled)
      p.told(ask(c, "POST", "/work/" + id + "/cancel"), 1);
    else
      EXPECT_EQ(finish(a, id), TransactionOutcome::Committed);
    p.more();
    EXPECT_EQ(p.final, cancelled ? "200 cancelled" : "200 done");
    p.told(ask(a, "POST", "/work/" + id + "/cancel"), 2);
    if (cancelled) finish(b, id);
    p.more();
    p.stop();
  }
}

// Lost and late answers of the key-value store, and late writes.

TEST_F(TwoNodes, WhatWasCarriedOutWithoutAnAnswerIsToldByAll) {
  for (const char* id : {"job-1", "job-2"}) {
    state.lost_answers = 1;
    const auto unanswered = begin(a, "POST", "/work", submission(id));
    until([&] { return state.lost_answers == 0; });
    EXPECT_EQ(ask(b, "GET", std::string("/work/") + id), "200 pending");
    EXPECT_EQ(ask(c, "POST", "/work", submission(id)), "200 pending");
    until([&] { return !unanswered->empty(); });
    EXPECT_EQ(*unanswered, "503 ");
    expect_all(id, "200 pending", "after the acceptance");
  }
  state.lost_answers = 1;
  EXPECT_EQ(ask(c, "POST", "/work/job-1/cancel"), "503 ");
  expect_all("job-1", "200 cancelled", "after the cancellation");
  EXPECT_EQ(ask(c, "POST", "/work/job-1/cancel"), "200 cancelled");
  for (const auto& [id, end] : {std::pair{"job-1", "200 cancelled"}, {"job-2", "200 done"}}) {
    state.lost_answers = 1;
    EXPECT_EQ(finish(a, id), TransactionOutcome::Unknown);
    expect_all(id, end, "after its end");
    EXPECT_EQ(finish(a, id), TransactionOutcome::PreconditionFailed)
        << "the job has already left the live records";
    EXPECT_EQ(ask(b, "POST", std::string("/work/") + id + "/cancel"), end);
  }
}

TEST_F(TwoNodes, ALateAcceptanceChangesNothing) {
  state.late_writes = 1;
  EXPECT_EQ(ask(a, "POST", "/work", submission("job-1")), "503 ");
  EXPECT_EQ(ask(b, "POST", "/work", submission("job-1")), "201 pending");
  EXPECT_EQ(ask(b, "POST", "/work/job-1/cancel"), "200 cancelled");
  EXPECT_EQ(state.carry_out_late(), 0);
  expect_all("job-1", "200 cancelled", "after another node's acceptance");
}

TEST_F(TwoNodes, ALateAcceptanceDoesNotBringBackAFinishedJob) {
  state.late_writes = 1;
  EXPECT_EQ(ask(a, "POST", "/work", submission("job-1")), "503 ");
  EXPECT_EQ(ask(b, "POST", "/work", submission("job-1")), "201 pending");
  EXPECT_EQ(finish(b, "job-1"), TransactionOutcome::Committed);
  EXPECT_EQ(state.carry_out_late(), 0);
  EXPECT_FALSE(state.has(keys::kLive + "job-1"));
  expect_all("job-1", "200 done", "after its end");
}

TEST_F(TwoNodes, ALateCancellationDoesNotChangeAFinishedJob) {
  EXPECT_EQ(ask(a, "POST", "/work", submission("job-1")), "201 pending");
  state.late_writes = 1;
  EXPECT_EQ(ask(b, "POST", "/work/job-1/cancel"), "503 ");
  EXPECT_EQ(finish(a, "job-1"), TransactionOutcome::Committed);
  EXPECT_EQ(state.carry_out_late(), 0);
  EXPECT_FALSE(state.has(keys::kLive + "job-1"));
  expect_all("job-1", "200 done", "after its end");
}

TEST_F(TwoNodes, ALateCancellationOfARunningJobIsToldByAll) {
  EXPECT_EQ(ask(a, "POST", "/work", submission("job-1")), "201 pending");
  state.late_writes = 1;
  EXPECT_EQ(ask(b, "POST", "/work/job-1/cancel"), "503 ");
  expect_all("job-1", "200 pending", "before the late cancellation");
  EXPECT_EQ(state.carry_out_late(), 1);
  expect_all("job-1", "200 cancelled", "after the late cancellation");
  EXPECT_EQ(finish(c, "job-1"), TransactionOutcome::Committed);
  expect_all("job-1", "200 cancelled", "after its end");
}

/// The answer to a write arrives after the cache was reloaded, and describes an outdated state.
TEST_F(TwoNodes, AnAnswerAfterALoadBringsNothingBack) {
  state.held_answers = 1;
  const auto accepted = begin(a, "POST", "/work", submission("job-1"));
  until([&] { return state.held_answers == 0; });
  EXPECT_EQ(ask(b, "GET", "/work/job-1"), "200 pending");
  EXPECT_EQ(finish(b, "job-1"), TransactionOutcome::Committed);
  until([&] { return !a.door->watches.empty(); });
  a.door->end_watches(410);
  until([&] { return !a.record_cache->loaded(); });
  until([&] { return a.record_cache->loaded(); });
  state.answer_held();
  until([&] { return !accepted->empty(); });
  EXPECT_EQ(a.record_cache->live("job-1"), nullptr);
  expect_all("job-1", "200 done", "after the late answer");
}

// Races with the end of a job.

TEST_F(TwoNodes, ACancellationBeforeTheEndWins) {
  EXPECT_EQ(ask(a, "POST", "/work", submission("job-1")), "201 pending");
  EXPECT_EQ(ask(b, "POST", "/work/job-1/cancel"), "200 cancelled");
  EXPECT_EQ(finish(a, "job-1"), TransactionOutcome::PreconditionFailed)
      << "node a's cache holds the version before the cancellation";
  expect_all("job-1", "200 cancelled", "before its end");
  EXPECT_EQ(finish(a, "job-1"), TransactionOutcome::Committed);
  expect_all("job-1", "200 cancelled", "after its end");
}

TEST_F(TwoNodes, TheEndBetweenACancellationsReadAndWriteWins) {
  EXPECT_EQ(ask(a, "POST", "/work", submission("job-1")), "201 pending");
  state.before = [&](const HttpRequest& r) {
    if (r.path != "/multi") return false;
    finish_there("job-1");
    return true;
  };
  EXPECT_EQ(ask(b, "POST", "/work/job-1/cancel"), "200 done");
  expect_all("job-1", "200 done", "after its end");
}

TEST_F(TwoNodes, TheEndMeetsACancellationAQuestionAndARepeat) {
  for (int i = 0; i < 6; ++i) {
    const std::string id = "job-" + std::to_string(i);
    const std::string path = "/work/" + id;
    EXPECT_EQ(ask(a, "POST", "/work", submission(id)), "201 pending");
    std::vector<Answer> answers;
    answers.push_back(begin(b, "POST", path + "/cancel"));
    if (i % 2) until([&] { return b.record_cache->live(id) != nullptr; });
    answers.push_back(begin(c, "GET", path));
    answers.push_back(begin(c, "POST", "/work", submission(id)));
    const bool ended = finish(a, id) == TransactionOutcome::Committed;
    const std::string end = ended ? "200 done" : "200 cancelled";
    until([&] {
      return std::all_of(answers.begin(), answers.end(), [](auto& x) { return !x->empty(); });
    });
    EXPECT_EQ(*answers[0], end);
    for (const auto& answer : answers) EXPECT_TRUE(*answer == end || *answer == "200 pending");
    expect_all(id, end, "after the concurrent requests");
  }
}

// Jobs with dependencies.

struct Dependents : TwoNodes {
  void submit_chain() {
    EXPECT_EQ(ask(a, "POST", "/work", submission("job-1")), "201 pending");
    EXPECT_EQ(ask(a, "POST", "/work", submission_after("job-2", {"job-1"})), "201 pending");
    EXPECT_EQ(ask(a, "POST", "/work", submission_after("job-3", {"job-2"})), "201 pending");
  }
  /// Loads the chain as pending into a node's cache, which stays as it is until the next read
  /// barrier.
  void show_chain(Side& s) {
    for (const char* id : {"job-1", "job-2", "job-3"})
      EXPECT_EQ(ask(s, "GET", std::string("/work/") + id), "200 pending");
  }
  void start_again(Side& s) {
    prepare(s);
    s.record_cache->start();
    until([&] { return s.record_cache->loaded(); });
  }
  /// Ends a job in its live record without moving it to the finished records, as while its tasks
  /// are stopping.
  void set_state_there(const std::string& id, JobState end) {
    const auto known = wire::Document::parse(state.keys.at(keys::kLive + id).value);
    JobRecord record = *wire::decode_job(known->root());
    record.state = end;
    ++state.revision;
    state.set(keys::kLive + id, wire::encode_job(record));
  }
};

TEST_F(Dependents, OnlyOfAcceptedJobsAreAccepted) {
  for (Side* s : all) {
    EXPECT_EQ(ask(*s, "POST", "/work", submission_after("job-2", {"job-1"})), "422 ");
    EXPECT_EQ(ask(*s, "GET", "/work/job-2"), "404 ");
  }
  EXPECT_EQ(ask(a, "POST", "/work", submission("job-1")), "201 pending");
  EXPECT_EQ(ask(b, "POST", "/work", submission_after("job-2", {"job-1", "job-9"})), "422 ");
  EXPECT_EQ(ask(b, "POST", "/work", submission_after("job-2", {"job-9", "job-1"})), "422 ");
  EXPECT_FALSE(state.has(keys::kLive + "job-2"));
  EXPECT_EQ(ask(c, "POST", "/work", submission_after("job-2", {"job-1"})), "201 pending")
      << "node c reads job-1 through the read barrier";
}

TEST_F(Dependents, AreNeitherAcceptedNorRefusedWhileNobodyKnowsWhatTheyName) {
  EXPECT_EQ(ask(a, "POST", "/work", submission("job-1")), "201 pending");
  state.refuse = true;
  for (Side* s : all)
    EXPECT_EQ(ask(*s, "POST", "/work", submission_after("job-2", {"job-1"})), "503 ");
  state.refuse = false;
  finish_there("job-1");
  b.door->items_wait = true;
  EXPECT_EQ(ask(b, "POST", "/work", submission_after("job-2", {"job-9"})), "503 ");
  b.door->items_wait = false;
  EXPECT_EQ(ask(b, "POST", "/work", submission_after("job-2", {"job-9"})), "422 ");
  EXPECT_EQ(ask(b, "POST", "/work", submission_after("job-2", {"job-1"})), "201 pending");
}

TEST_F(Dependents, ThatWereAcceptedAreAnsweredFromTheirRecordWhateverARepeatNames) {
  submit_chain();
  for (Side* s : all) {
    EXPECT_EQ(ask(*s, "POST", "/work", submission_after("job-2", {"job-9"})), "200 pending");
    EXPECT_EQ(ask(*s, "POST", "/work", submission_after("job-3", {"job-3"})), "200 pending");
  }
  EXPECT_EQ(ask(b, "POST", "/work/job-1/cancel"), "200 cancelled");
  for (Side* s : all)
    EXPECT_EQ(ask(*s, "POST", "/work", submission_after("job-2", {"job-9"})), "200 cancelled");
}

TEST_F(Dependents, OfJobsThatAreDoneNameThemNoMore) {
  submit_chain();
  finish_there("job-1");
  EXPECT_EQ(ask(b, "POST", "/work", submission_after("job-4", {"job-1", "job-2"})), "201 pending");
  const auto* record = b.record_cache->live("job-4");
  ASSERT_NE(record, nullptr);
  EXPECT_EQ(record->value.spec.dependencies, std::vector<std::string>{"job-2"});
}

TEST_F(Dependents, OfACancelledJobAreAcceptedAndCancelled) {
  EXPECT_EQ(ask(a, "POST", "/work", submission("job-1")), "201 pending");
  EXPECT_EQ(ask(b, "POST", "/work/job-1/cancel"), "200 cancelled");
  EXPECT_EQ(ask(c, "POST", "/work", submission_after("job-2", {"job-1"})), "201 cancelled");
  expect_all("job-2", "200 cancelled", "after the submission");
  finish_there("job-1", JobState::Cancelled);
  EXPECT_EQ(ask(a, "POST", "/work", submission_after("job-3", {"job-1"})), "201 cancelled");
  EXPECT_EQ(ask(b, "POST", "/work", submission_after("job-4", {"job-3"})), "201 cancelled");
  expect_all("job-4", "200 cancelled", "which depends on the cancelled job through one other");
}

/// Another node has confirmed the cancellation to a user; the accepting node's cache lacks it.
TEST_F(Dependents, OfACancelledJobAreNotCalledPendingByANodeThatHasNotHeardOfIt) {
  submit_chain();
  show_chain(b);
  EXPECT_EQ(ask(a, "POST", "/work/job-1/cancel"), "200 cancelled");
  EXPECT_EQ(ask(b, "POST", "/work", submission_after("job-4", {"job-1"})), "201 cancelled");
}

TEST_F(Dependents, AreCancelledEverywhereOnceACancellationBeforeThemIsConfirmed) {
  submit_chain();
  show_chain(b), show_chain(c);
  EXPECT_EQ(ask(b, "POST", "/work/job-1/cancel"), "200 cancelled");
  EXPECT_EQ(ask(c, "GET", "/work/job-3"), "200 cancelled")
      << "job-3 depends on job-1 through job-2";
  expect_all("job-3", "200 cancelled", "which depends on the cancelled job through one other");
  expect_all("job-2", "200 cancelled", "which depends on the cancelled job directly");
  EXPECT_EQ(ask(a, "POST", "/work/job-3/cancel"), "200 cancelled");
  finish_there("job-1", JobState::Cancelled);
  expect_all("job-3", "200 cancelled", "after the end of job-1");
}

/// The record names a dependency that is pending in the accepting node's cache, but was cancelled
/// through a dependency of its own.
TEST_F(Dependents, ThatArriveAfterTheCancellationInheritIt) {
  submit_chain();
  show_chain(b);
  EXPECT_EQ(ask(a, "POST", "/work/job-1/cancel"), "200 cancelled");
  ask(b, "POST", "/work", submission_after("job-4", {"job-3"}));
  const auto* record = b.record_cache->live("job-4");
  ASSERT_NE(record, nullptr);
  EXPECT_EQ(record->value.spec.dependencies, std::vector<std::string>{"job-3"})
      << "node b's cache holds job-3 as pending";
  expect_all("job-4", "200 cancelled", "which depends on the cancelled job through two others");
}

TEST_F(Dependents, GoOnIfTheEndCameBeforeTheCancellation) {
  submit_chain();
  state.before = [&](const HttpRequest& r) {
    if (r.path != "/multi") return false;
    finish_there("job-1");
    return true;
  };
  EXPECT_EQ(ask(b, "POST", "/work/job-1/cancel"), "200 done");
  expect_all("job-2", "200 pending", "after the end of job-1");
  expect_all("job-3", "200 pending", "after the end of job-1");
}

TEST_F(Dependents, AreNotToldOfUntilANodeThatWasStartedLaterHasReadHowOthersEnded) {
  for (const JobState end : {JobState::Done, JobState::Cancelled}) {
    const std::string mark = end == JobState::Done ? "1" : "2";
    const std::string first = "job-1" + mark;
    const std::string second = "job-2" + mark;
    const std::string third = "job-3" + mark;
    EXPECT_EQ(ask(a, "POST", "/work", submission(first)), "201 pending");
    EXPECT_EQ(ask(a, "POST", "/work", submission_after(second, {first})), "201 pending");
    EXPECT_EQ(ask(a, "POST", "/work", submission_after(third, {second})), "201 pending");
    finish_there(first, end);
    c.door->items_wait = true;
    start_again(c);
    EXPECT_EQ(ask(c, "GET", "/work/" + third), "503 ");
    EXPECT_EQ(ask(c, "POST", "/work/" + third + "/cancel"), "503 ");
    c.door->items_wait = false;
    const std::string expected = end == JobState::Done ? "200 pending" : "200 cancelled";
    until([&] { return ask(c, "GET", "/work/" + third) != "503 "; });
    expect_all(third, expected, "after the dependency was read");
    expect_all(second, expected, "after the dependency was read");
  }
}

/// The leader moves an ended job to the finished records once all its tasks are gone, which may
/// take long.
TEST_F(Dependents, OfJobsThatAreOverAndStillLiveAreToldOfAtOnceByANodeThatWasStartedLater) {
  submit_chain();
  EXPECT_EQ(ask(a, "POST", "/work", submission("job-4")), "201 pending");
  EXPECT_EQ(ask(a, "POST", "/work", submission_after("job-5", {"job-4"})), "201 pending");
  set_state_there("job-1", JobState::Cancelled);
  set_state_there("job-4", JobState::Done);
  start_again(c);
  EXPECT_EQ(ask(c, "GET", "/work/job-3"), "200 cancelled");
  EXPECT_EQ(ask(c, "GET", "/work/job-5"), "200 pending");
}

/// As above, for a node that reads the end of a job on which no other job depends yet.
TEST_F(Dependents, ThatNameAJobWhoseEndIsStillLiveAreToldOfAtOnce) {
  EXPECT_EQ(ask(a, "POST", "/work", submission("job-1")), "201 pending");
  EXPECT_EQ(ask(b, "GET", "/work/job-1"), "200 pending");
  EXPECT_EQ(ask(a, "POST", "/work/job-1/cancel"), "200 cancelled");
  ask(b, "POST", "/work", submission_after("job-2", {"job-1"}));
  expect_all("job-2", "200 cancelled", "while job-1 has a live record");
}

/// The leader's node must pass the end of a dependency to its scheduler even after the cache has
/// evicted the finished job.
TEST_F(Dependents, FindTheEndOfAJobThatLeftMemory) {
  prepare(b, 1);
  b.record_cache->start();
  until([&] { return b.record_cache->loaded(); });
  for (const char* id : {"job-1", "job-2", "job-3"})
    EXPECT_EQ(ask(b, "POST", "/work", submission(id)), "201 pending");
  EXPECT_EQ(ask(b, "POST", "/work", submission_after("job-4", {"job-1", "job-2"})), "201 pending");
  finish_there("job-1"), finish_there("job-3");
  EXPECT_EQ(ask(b, "GET", "/work/job-3"), "200 done");
  EXPECT_EQ(ask(b, "GET", "/work/job-4"), "200 pending");
  EXPECT_EQ(b.record_cache->finished("job-1"), nullptr);
  const auto end = b.record_cache->dependency_end("job-1");
  ASSERT_TRUE(end.has_value());
  EXPECT_EQ(end->state, JobState::Done);
}

// Records that move or are loaded during a request.

TEST_F(TwoNodes, JobsThatLeftMemoryAreReadAgain) {
  prepare(b, 1);
  b.record_cache->start();
  until([&] { return b.record_cache->loaded(); });
  for (const char* id : {"job-1", "job-2", "job-3"})
    EXPECT_EQ(ask(b, "POST", "/work", submission(id)), "201 pending");
  finish_there("job-1"), finish_there("job-2", JobState::Cancelled), finish_there("job-3");
  for (int round = 0; round < 2; ++round) {
    for (const auto& [id, end] :
         {std::pair{"job-1", "200 done"}, {"job-2", "200 cancelled"}, {"job-3", "200 done"}}) {
      EXPECT_EQ(ask(b, "GET", std::string("/work/") + id), end);
      EXPECT_EQ(ask(b, "POST", "/work", submission(id)), end);
      EXPECT_EQ(ask(b, "POST", std::string("/work/") + id + "/cancel"), end);
      EXPECT_EQ(b.record_cache->live(id), nullptr);
    }
  }
}

TEST_F(TwoNodes, AJobOnItsWayToTheFinishedOnesIsFound) {
  // The job finishes between the read barrier and the read of its finished record.
  state.before = [&](const HttpRequest& r) {
    if (!r.path.starts_with("/store/")) return false;
    finish_there("job-1");
    return true;
  };
  EXPECT_EQ(ask(b, "GET", "/work/job-1"), "200 done");
  EXPECT_EQ(ask(a, "POST", "/work", submission("job-2")), "201 pending");
  // The job finishes before the read barrier.
  state.before = [&](const HttpRequest& r) {
    if (r.path != "/changes") return false;
    finish_there("job-2");
    return true;
  };
  EXPECT_EQ(ask(c, "GET", "/work/job-2"), "200 done");
  expect_all("job-2", "200 done", "after its end");
}

TEST_F(TwoNodes, AQuestionThatWaitsWhileACopyLoadsIsNotAnsweredFromIt) {
  EXPECT_EQ(ask(a, "POST", "/work", submission("job-1")), "201 pending");
  EXPECT_EQ(ask(b, "GET", "/work/job-1"), "200 pending");
  until([&] { return !b.door->watches.empty(); });
  b.door->lists_wait = true;
  // The second request waits for the next read barrier when the cache starts to load.
  const auto first = begin(b, "GET", "/work/job-1");
  const auto second = begin(b, "GET", "/work/job-1");
  const auto third = begin(b, "POST", "/work", unfit("job-1"));
  b.door->end_watches(410);
  until([&] { return !first->empty() && !second->empty() && !third->empty(); });
  for (const auto& answer : {first, second, third})
    EXPECT_TRUE(*answer == "200 pending" || *answer == "503 ")
        << "expected 200 pending or 503, got " << *answer;
  EXPECT_FALSE(b.record_cache->loaded());
  b.door->lists_wait = false;
  until([&] { return b.record_cache->loaded(); });
  expect_all("job-1", "200 pending", "after the cache was loaded");
}

TEST_F(TwoNodes, ACopyLoadedFromAnEmptyServiceMissesNoChangeBetweenItsPages) {
  // At revision 0 nothing was ever written to the store: the first page is empty.
  state.revision = 0;
  prepare(b);
  state.before = [&](const HttpRequest& request) {
    if (request.query.find(keys::kHost) == std::string::npos) return false;
    ++state.revision;
    state.set(keys::kLeader, wire::encode_leader({"n", 1, 1, 1}));
    return true;
  };
  b.record_cache->start();
  until([&] { return b.record_cache->loaded(); });
  std::optional<bool> fresh;
  b.record_cache->read_barrier([&](bool known) { fresh = known; });
  until([&] { return fresh.has_value(); });
  EXPECT_TRUE(*fresh);
  EXPECT_EQ(b.record_cache->leader().value.node, "n");
}

TEST_F(TwoNodes, ChangesInAnyOrderGiveTheSameCopy) {
  state.log_backwards = true;
  const std::string host = wire::encode_host({"i-1", "127.0.0.1:1", "g", "e", false});
  ++state.revision, state.set(keys::kHost + "i-1", host);
  ++state.revision, state.set(keys::kHost + "i-2", host);
  ++state.revision, state.erase(keys::kHost + "i-1");
  EXPECT_EQ(ask(b, "GET", "/work/job-1"), "404 ");
  EXPECT_EQ(b.record_cache->hosts().size(), 1u);
  EXPECT_TRUE(b.record_cache->hosts().count("i-2"));
}

// Size limits that the key-value store lowers without notice.

/// A record larger than the lowered limit: hundreds of hosts, and every other task done.
JobRecord record_of_larger_limits(const std::string& id) {
  JobRecord record;
  record.spec.id = id;
  record.spec.team = "t";
  record.spec.tasks = 1000;
  record.spec.request = {1, 1, 1};
  record.submitted_ms = 1;
  record.started = true;
  record.hosts.emplace();
  for (int i = 100; i < 400; ++i) record.hosts->push_back("i-" + std::to_string(i));
  for (uint32_t task = 0; task < record.spec.tasks; task += 2) record.done.add(task);
  return record;
}

TEST_F(TwoNodes, ARecordOfLargerLimitsIsReadAndCancelledAfterTheyWereLowered) {
  ++state.revision;
  state.set(keys::kLive + "job-1", wire::encode_job(record_of_larger_limits("job-1")));
  b.settings.state_value_kb = 2;
  prepare(b);
  b.record_cache->start();
  until([&] { return b.record_cache->loaded(); });
  state.most_value_bytes = 2048;
  EXPECT_EQ(ask(b, "GET", "/work/job-1"), "200 pending");
  EXPECT_EQ(ask(b, "POST", "/work/job-1/cancel"), "200 cancelled");
  EXPECT_EQ(ask(a, "GET", "/work/job-1"), "200 cancelled");
  const auto* cancelled = a.record_cache->live("job-1");
  ASSERT_NE(cancelled, nullptr);
  EXPECT_FALSE(cancelled->value.hosts) << "without a list of hosts, any machine may run its tasks";
  EXPECT_GT(cancelled->value.done.count(), 0u);
}

TEST_F(TwoNodes, ADescriptionIsMeasuredInJsonForm) {
  static msgpack::zone zone;
  const std::string body = submission("job-1", [](Fields& f) {
    f["bolt"] = msgpack::object(std::string(190, '\1'), zone);  // JSON escapes each character
  });
  b.settings.state_value_kb = 2;
  prepare(b);
  b.record_cache->start();
  until([&] { return b.record_cache->loaded(); });
  ASSERT_LT(2 * body.size(), b.settings.state_value_bytes());
  EXPECT_EQ(ask(b, "POST", "/work", body), "400 ");
  EXPECT_EQ(ask(a, "POST", "/work", body), "201 pending") << "node a's size limit is larger";
}

TEST_F(TwoNodes, ATransactionThatIsTooLargeNowIsToldApartAndCarriedOutOnceItIsSmaller) {
  std::optional<TransactionResult> result;
  const auto compare_and_swap = [&](size_t changes, uint64_t lease) {
    std::vector<wire::Mutation> all;
    for (size_t i = 0; i < changes; ++i)
      all.push_back({keys::kHost + std::to_string(i),
                     wire::encode_host({"i-1", "127.0.0.1:1", "g", "e", false}), lease});
    result.reset();
    a.store->compare_and_swap(RequestPriority::Record, {}, all,
                              [&](const TransactionResult& t) { result = t; });
    until([&] { return result.has_value(); });
    return result->outcome;
  };
  EXPECT_EQ(compare_and_swap(24, 0), TransactionOutcome::Committed);
  state.most_changes = 8;
  EXPECT_EQ(compare_and_swap(24, 0), TransactionOutcome::TooLarge);
  EXPECT_EQ(compare_and_swap(24, 7), TransactionOutcome::NoLease)
      << "with a lease, the reply does not tell an oversized transaction from an ended lease";
  EXPECT_EQ(compare_and_swap(8, 0), TransactionOutcome::Committed);
  state.most_value_bytes = 16;
  EXPECT_EQ(compare_and_swap(1, 0), TransactionOutcome::TooLarge);
}

TEST_F(TwoNodes, ASubmissionThatTheServiceRefusesForItsSizeIsNotRefusedForGood) {
  state.most_value_bytes = 16;
  EXPECT_EQ(ask(a, "POST", "/work", submission("job-1")), "503 ");
  state.most_value_bytes = 2048;
  EXPECT_EQ(ask(a, "POST", "/work", submission("job-1")), "201 pending");
}

/// All tasks of the jobs are done. Moving a job to the finished records takes two changes.
TEST_F(TwoNodes, TheLeadersRecordsAreWrittenInSmallPartsAfterARefusalForSize) {
  constexpr int kJobs = 6;
  std::vector<std::string> ids;
  for (int i = 1; i <= kJobs; ++i) ids.push_back("job-" + std::to_string(i));
  ActiveScheduler active;
  a.settings.heartbeat_period_s = 0.4;
  active.begin(std::make_unique<Scheduler>(a.settings, 1, 0, 0));
  for (const auto& id : ids) {
    JobRecord record;
    record.spec.id = id;
    record.done.add(0);
    ++state.revision;
    state.set(keys::kLive + id, wire::encode_job(record));
    active->on_job_record(record, state.revision, 0);
  }
  EXPECT_EQ(ask(a, "GET", "/work/job-1"), "200 pending");
  RecordWriter writer(a.settings, *a.store, *a.record_cache, active, [] {});
  state.most_changes = 4;
  const auto all_finished = [&] {
    writer.write_planned_records();
    return std::all_of(ids.begin(), ids.end(),
                       [&](const auto& id) { return state.has(keys::kFinished + id); });
  };
  const auto began = std::chrono::steady_clock::now();
  until(all_finished);
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
  EXPECT_EQ(state.transactions, 1 + kJobs) << "one rejected transaction, then one per job";
  EXPECT_GE(took.count(), a.settings.heartbeat_period_s) << "the writer pauses after the rejection";
}

// Recovery after faults.

struct Troubles : TwoNodes {
  /// Sends more concurrent requests than the front end admits during a fault, and sequential
  /// requests after it.
  void during(Side& s, const std::function<void()>& trouble, const std::function<void()>& over) {
    EXPECT_EQ(ask(a, "POST", "/work", submission("job-1")), "201 pending");
    trouble();
    std::vector<Answer> answers;
    for (int i = 0; i < 30; ++i) {
      answers.push_back(begin(s, "GET", "/work/job-1"));
      answers.push_back(begin(s, "POST", "/work", submission("job-" + std::to_string(100 + i))));
      answers.push_back(begin(s, "POST", "/work/job-7/cancel"));
    }
    until([&] {
      return std::all_of(answers.begin(), answers.end(), [](auto& x) { return !x->empty(); });
    });
    for (const auto& answer : answers)
      EXPECT_TRUE(*answer == "503 " || *answer == "429 ")
          << "expected 503 or 429 during the fault, got " << *answer;
    over();
    for (int i = 0; i < 30; ++i)
      EXPECT_EQ(ask(s, "GET", "/work/job-1"), "200 pending") << "query " << i;
    EXPECT_EQ(s.frontend->in_progress(), 0);
    EXPECT_EQ(ask(s, "POST", "/work", submission("job-2")), "201 pending");
    expect_all("job-2", "200 pending", "after the fault");
  }
};

TEST_F(Troubles, AfterRefusalsToOneNodeEveryQuestionIsAnswered) {
  during(
      b, [&] { b.door->status = 503; }, [&] { b.door->status = 0; });
  EXPECT_EQ(ask(a, "GET", "/work/job-1"), "200 pending");
}

TEST_F(Troubles, AfterTooManyRequestsEveryQuestionIsAnswered) {
  during(
      b, [&] { b.door->status = 429; }, [&] { b.door->status = 0; });
}

TEST_F(Troubles, AfterSilenceEveryQuestionIsAnswered) {
  during(
      b, [&] { b.door->silent = true; }, [&] { b.door->silent = false; });
}

TEST_F(Troubles, UsersWhoLeaveGiveTheirPlacesBack) {
  EXPECT_EQ(ask(a, "POST", "/work", submission("job-1")), "201 pending");
  HttpServer users(
      io, Endpoint{"127.0.0.1", 0}, HttpLimits{},
      [&](const HttpRequest& r, const Respond& respond) { b.frontend->handle(r, respond); });
  HttpClient impatient(io, {"127.0.0.1", users.port()}, 40, 40);
  b.door->silent = true;
  int gone = 0;
  int reached = 0;
  state.before = [&](const HttpRequest&) { return ++reached < 0; };
  for (int i = 0; i < 40; ++i)
    impatient.request("GET", "/work/job-1", "", 0.4,
                      [&](const HttpResult& r) { gone += !r.answered; });
  until([&] { return reached > 0; });
  users.close_all();
  until([&] { return gone > 0 && impatient.in_progress() == 0; });
  state.before = nullptr;
  b.door->silent = false;
  // Their requests count against the limit for as long as they wait for the key-value store.
  until([&] { return ask(b, "GET", "/work/job-1") == "200 pending"; });
  until([&] { return b.frontend->in_progress() == 0; });
}

TEST_F(Troubles, ChangesThatNoAnswerHoldsAreNotAskedForInVain) {
  EXPECT_EQ(ask(a, "POST", "/work", submission("job-1")), "201 pending");
  b.settings.lease_s = 2;  // the age at which an outdated cache is reloaded
  prepare(b);
  b.record_cache->start();
  until([&] { return b.record_cache->loaded(); });
  EXPECT_EQ(finish(a, "job-1"), TransactionOutcome::Committed);
  const std::string value = '\xda' + std::string("\x1f\xff") + std::string(0x1fff, 'x');
  for (int i = 0; i < 600; ++i) {
    const std::string key = "sq/passing/" + std::to_string(i);
    ++state.revision, state.set(key, value);
    ++state.revision, state.erase(key);
  }
  EXPECT_EQ(ask(b, "GET", "/work/job-1"), "503 ")
      << "5 MB of changes exceed the size limit of a response";
  until([&] { return ask(b, "GET", "/work/job-1") == "200 done"; });
  EXPECT_EQ(ask(b, "GET", "/work/job-2"), "404 ");
}

TEST_F(Troubles, AnOldCopyIsKeptWhileNothingAtAllIsAnswered) {
  EXPECT_EQ(ask(a, "POST", "/work", submission("job-1")), "201 pending");
  b.settings.lease_s = 1;
  prepare(b);
  b.record_cache->start();
  until([&] { return b.record_cache->loaded(); });
  b.door->silent = true;
  const auto old = std::chrono::steady_clock::now() + std::chrono::seconds(3);
  until([&] {
    return ask(b, "GET", "/work/job-1") == "503 " && std::chrono::steady_clock::now() > old;
  });
  EXPECT_TRUE(b.record_cache->loaded());
  EXPECT_NE(b.record_cache->live("job-1"), nullptr);
  b.door->silent = false;
  until([&] { return ask(b, "GET", "/work/job-1") == "200 pending"; });
}

}  // namespace
}  // namespace sumacquay
