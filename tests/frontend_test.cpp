// Tests of the front ends of three nodes that share a fake key-value store, over loopback.
#include "frontend/frontend.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <utility>

#include "node/record_writer.h"
#include "wire/json_size.h"

namespace sumacquay {
namespace {

/// A fake key-value store: keys, versions and a log of changes. Each node has an endpoint of its
/// own, so that faults can affect one node alone. Watches are held until a test ends them, so nodes
/// read changes only through the read barrier.
class FakeKeyValueStore {
 public:
  struct NodeEndpoint {
    NodeEndpoint(asio::io_context& io, FakeKeyValueStore& store)
        : server(io, Endpoint{"127.0.0.1", 0}, HttpLimits{},
                 [this, &store](const HttpRequest& r, Respond respond) {
                   store.handle(*this, r, std::move(respond));
                 }) {}
    /// Answers all held watches, as the store does if it has dropped the changes they ask for.
    void end_watches(int status) {
      for (auto& watch : std::exchange(held_watches, {})) watch({status, {}, 0});
    }
    HttpServer server;
    int forced_status = 0;            ///< if not 0: answers every request with it, executes none
    bool drops_requests = false;      ///< executes and answers no request
    bool rejects_lists = false;       ///< rejects lists, so that a loading cache keeps loading
    bool rejects_item_reads = false;  ///< rejects reads of single keys
    std::vector<Respond> held_watches;
  };

  explicit FakeKeyValueStore(asio::io_context& io) : io_(io) {}

  NodeEndpoint& add_endpoint() { return endpoints_.emplace_back(io_, *this); }

  bool rejects_all = false;
  int answers_to_lose = 0;  ///< so many transactions are executed without an answer
  int writes_to_delay = 0;  ///< so many transactions are executed later, without an answer
  int answers_to_hold = 0;  ///< so many transactions are executed at once and answered later
  bool reverses_changes = false;
  size_t max_value_bytes = 8192;  ///< in JSON form; tests may lower it at any time
  size_t max_changes = 24;
  int transaction_count = 0;  ///< evaluated so far, including rejected ones
  /// Called before each request is handled, until it returns true.
  std::function<bool(const HttpRequest&)> before_request;
  uint64_t revision = 1;
  struct Key {
    std::string value;  ///< encoded
    uint64_t version = 0;
  };
  std::map<std::string, Key> keys;

  int execute_delayed_writes() {
    int done = 0;
    for (const auto& r : std::exchange(delayed_writes_, {})) {
      msgpack::sbuffer out;
      Packer p(out);
      done += compare_and_swap(r, p) == 200;
    }
    return done;
  }
  void send_held_answers() {
    for (auto& answer : std::exchange(held_answers_, {})) answer();
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
  struct Change {
    std::string key, value;
    uint64_t version;
    bool deleted;
  };

  static std::string query_parameter(const std::string& query, const std::string& name) {
    const auto at = ("&" + query).find("&" + name + "=");
    if (at == std::string::npos) return "";
    const auto from = at + name.size() + 1;
    return query.substr(from, query.find('&', from) - from);
  }

  static void pack_item(Packer& p, const std::string& name, const std::string& key,
                        const std::string& value, uint64_t version) {
    p.pack_map(value.empty() ? 2 : 3);
    p.pack(name), p.pack(key);
    if (!value.empty())
      p.pack(std::string("v")), p.pack(msgpack::unpack(value.data(), value.size()).get());
    p.pack(std::string("stamp")), p.pack(version);
  }

  void handle(NodeEndpoint& endpoint, const HttpRequest& r, Respond respond) {
    if (before_request && before_request(r)) before_request = nullptr;
    if (endpoint.drops_requests) return;
    if (endpoint.forced_status) return respond({endpoint.forced_status, {}, 0});
    if (rejects_all) return respond({503, {}, 0});
    msgpack::sbuffer out;
    Packer p(out);
    int status = 200;
    if (r.path == "/multi") {
      if (writes_to_delay > 0) return --writes_to_delay, delayed_writes_.push_back(r);
      status = compare_and_swap(r, p);
      if (answers_to_lose > 0) return void(--answers_to_lose);
      if (answers_to_hold > 0) {
        --answers_to_hold;
        held_answers_.emplace_back([respond, status, body = std::string(out.data(), out.size())] {
          respond({status, body, 0});
        });
        return;
      }
    } else if (r.path == "/changes") {
      if (query_parameter(r.query, "block_ms") != "0")
        return endpoint.held_watches.push_back(std::move(respond));
      pack_changes(p, query_parameter(r.query, "under"),
                   std::stoull(query_parameter(r.query, "after")));
    } else if (r.path == "/store") {
      if (endpoint.rejects_lists) return respond({503, {}, 0});
      pack_list(p, query_parameter(r.query, "under"));
    } else {
      if (endpoint.rejects_item_reads) return respond({503, {}, 0});
      const std::string key = r.path.substr(std::string("/store/").size());
      status = keys.contains(key) ? 200 : 404;
      if (status == 200)
        pack_item(p, "path", key, keys[key].value, keys[key].version);
      else
        p.pack_map(0);
    }
    respond({status, {out.data(), out.size()}, 0});
  }

  void pack_changes(Packer& p, const std::string& under, uint64_t after) {
    std::vector<Change> found;
    for (const auto& e : log_)
      if (e.key.starts_with(under) && e.version > after) found.push_back(e);
    if (reverses_changes) std::reverse(found.begin(), found.end());
    pack_list_header(p, "log", found.size());
    for (const auto& e : found)
      pack_item(p, e.deleted ? "delete" : "set", e.key, e.value, e.version);
  }

  void pack_list(Packer& p, const std::string& under) {
    std::vector<std::string> found;
    for (const auto& [key, v] : keys)
      if (key.starts_with(under)) found.push_back(key);
    pack_list_header(p, "items", found.size());
    for (const auto& key : found) pack_item(p, "path", key, keys[key].value, keys[key].version);
  }

  void pack_list_header(Packer& p, const char* name, size_t count) const {
    p.pack_map(2);
    p.pack(std::string("epoch")), p.pack(revision);
    p.pack(std::string(name));
    p.pack_array(static_cast<uint32_t>(count));
  }

  bool too_large(wire::View apply) const {
    if (apply.size() > max_changes) return true;
    for (size_t i = 0; i < apply.size(); ++i)
      if (wire::json_size(apply.at(i)["v"]) > max_value_bytes) return true;
    return false;
  }

  int compare_and_swap(const HttpRequest& r, Packer& p) {
    const auto document = wire::Document::parse(r.body);
    const auto preconditions = document->root()["guards"];
    const auto apply = document->root()["apply"];
    ++transaction_count;
    if (too_large(apply)) return p.pack_map(0), 400;
    bool preconditions_hold = true;
    for (size_t i = 0; i < preconditions.size(); ++i) {
      const auto it = keys.find(*preconditions.at(i)["path"].text());
      preconditions_hold =
          preconditions_hold && (it == keys.end() ? 0 : it->second.version) ==
                                    *preconditions.at(i)["stamp"].unsigned_integer();
    }
    p.pack_map(1);
    p.pack(std::string("epoch")), p.pack(preconditions_hold ? ++revision : revision);
    if (!preconditions_hold) return 409;
    const auto unpacked = msgpack::unpack(r.body.data(), r.body.size());
    std::map<std::string, msgpack::object> body;
    unpacked.get().convert(body);
    std::vector<std::map<std::string, msgpack::object>> mutations;
    body.at("apply").convert(mutations);
    for (size_t i = 0; i < apply.size(); ++i) {
      if (const auto deleted_key = apply.at(i)["delete"].text()) {
        erase(*deleted_key);
        continue;
      }
      msgpack::sbuffer value;
      msgpack::pack(value, mutations[i].at("v"));
      set(*apply.at(i)["set"].text(), {value.data(), value.size()});
    }
    return 200;
  }

  asio::io_context& io_;
  std::deque<NodeEndpoint> endpoints_;
  std::vector<Change> log_;
  std::vector<HttpRequest> delayed_writes_;
  std::vector<std::function<void()>> held_answers_;
};

using Fields = std::map<std::string, msgpack::object>;

/// A valid submission, whose fields `change` may alter.
std::string submission(const std::string& id, const std::function<void(Fields&)>& alter = {}) {
  JobRecord record;
  record.spec.id = id;
  record.spec.team = "t";
  record.spec.request = {1, 1, 1};
  const std::string bytes = wire::encode_job(record);
  const auto unpacked = msgpack::unpack(bytes.data(), bytes.size());
  Fields fields;
  unpacked.get().via.map.ptr[0].val.convert(fields);
  if (alter) alter(fields);
  msgpack::sbuffer body;
  msgpack::pack(body, fields);
  return {body.data(), body.size()};
}

std::string submission_without(const std::string& id, const std::string& field) {
  return submission(id, [&](Fields& f) { f.erase(field); });
}

/// A well-formed submission that exceeds the size limit of records.
std::string oversized_submission(const std::string& id) {
  static msgpack::zone zone;
  return submission(id, [](Fields& f) {
    std::vector<std::string> types(60, std::string(190, 'x'));
    types.emplace_back("g");
    f["frames"] = msgpack::object(types, zone);
  });
}

/// A submission whose tasks fit no machine type.
std::string infeasible_submission(const std::string& id) {
  return submission(id, [](Fields& f) { f["vcpus"] = msgpack::object(1e6); });
}

/// A submission that depends on other jobs.
std::string dependent_submission(const std::string& id,
                                 const std::vector<std::string>& dependencies) {
  static msgpack::zone zone;
  return submission(id, [&](Fields& f) { f["awaits"] = msgpack::object(dependencies, zone); });
}

/// The limit on user requests that a front end handles concurrently.
constexpr size_t kMaxInProgress = 42;

struct FrontendTest : ::testing::Test {
  asio::io_context io;
  FakeKeyValueStore fake_store{io};
  struct Node {
    FakeKeyValueStore::NodeEndpoint* store_endpoint = nullptr;
    Settings settings;
    std::vector<MachineType> types;
    std::unique_ptr<KeyValueStoreClient> store;
    std::unique_ptr<RecordCache> record_cache;
    std::unique_ptr<Frontend> frontend;
  };
  Node a, b, c;
  std::vector<Node*> nodes{&a, &b, &c};

  FrontendTest() {
    for (Node* node : nodes) {
      prepare(*node);
      node->record_cache->start();
      run_until([node] { return node->record_cache->loaded(); });
    }
  }

  void prepare(Node& node, size_t finished_kept = RecordCache::kMaxFinishedJobs) {
    if (!node.store_endpoint) node.store_endpoint = &fake_store.add_endpoint();
    node.settings.state = {"127.0.0.1", node.store_endpoint->server.port()};
    node.settings.teams = {TeamSettings{"t", 0, 0, 0, 0}};
    node.settings.state_rps = 1000, node.settings.state_write_rps = 300;  // avoids rate limiting
    MachineType g;
    g.name = "g";
    g.capacity = {8, 8, 64};
    g.zones = {"e"};
    node.types = {g};
    node.frontend.reset(), node.record_cache.reset(), node.store.reset();
    node.store = std::make_unique<KeyValueStoreClient>(io, node.settings);
    node.record_cache =
        std::make_unique<RecordCache>(io, node.settings, *node.store, finished_kept);
    node.frontend = std::make_unique<Frontend>(
        node.settings, kMaxInProgress, *node.store, *node.record_cache,
        Frontend::Callbacks{[&node]() -> const std::vector<MachineType>& { return node.types; },
                            [](const std::string& id) {
                              return wire::JobProgress{id, 0, 0};
                            },
                            [] { return uint64_t{1}; }});
  }

  void run_until(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!done() && std::chrono::steady_clock::now() < end)
      io.run_one_for(std::chrono::milliseconds(20));
    ASSERT_TRUE(done());
  }

  static std::string status_and_state(const HttpReply& reply) {
    const auto d = wire::Document::parse(reply.body);
    return std::to_string(reply.status) + (d ? " " + d->root()["stage"].text_or("") : "");
  }

  /// The reply's status and job state; empty until the reply has arrived.
  using Answer = std::shared_ptr<std::string>;
  Answer start_request(Node& node, const std::string& method, const std::string& path,
                       std::string body = "", const std::function<void()>& then = {}) {
    auto answer = std::make_shared<std::string>();
    EXPECT_TRUE(node.frontend->handle(
        {method, path, "", std::move(body)}, [answer, then](const HttpReply& r) {
          EXPECT_TRUE(answer->empty()) << "second reply; the first was " << *answer;
          *answer = status_and_state(r);
          if (then) then();
        }));
    return answer;
  }

  std::string request(Node& node, const std::string& method, const std::string& path,
                      std::string body = "") {
    const auto answer = start_request(node, method, path, std::move(body));
    run_until([&] { return !answer->empty(); });
    return *answer;
  }

  void expect_answer_from_all(const std::string& id, const std::string& answer,
                              const std::string& when) {
    for (Node* node : nodes) {
      EXPECT_EQ(request(*node, "GET", "/work/" + id), answer) << id << " " << when;
      EXPECT_EQ(request(*node, "POST", "/work", submission(id)), answer) << id << " " << when;
    }
  }

  /// Moves a job to the finished records, as a leader does after the job's last task has ended, if
  /// the live record still has the version in the node's cache.
  TransactionOutcome finish_job(Node& node, const std::string& id) {
    const auto* cached = node.record_cache->live_job(id);
    if (!cached) return TransactionOutcome::PreconditionFailed;
    const JobState end =
        cached->value.state == JobState::Pending ? JobState::Done : cached->value.state;
    std::optional<TransactionResult> result;
    const std::string live = keys::kLive + id;
    node.store->compare_and_swap(
        RequestPriority::Record, {{live, cached->version}},
        {{live, "", 0}, {keys::kFinished + id, wire::encode_finished({end, 1}), 0}},
        [&](const TransactionResult& t) { result = t; });
    run_until([&] { return result.has_value(); });
    if (result->outcome == TransactionOutcome::Committed)
      node.record_cache->on_finished_written(id, {end, 1}, result->revision);
    return result->outcome;
  }

  /// Moves a job to the finished records directly in the store, as a concurrent write by another
  /// node.
  void finish_job_in_store(const std::string& id, JobState end = JobState::Done) {
    ++fake_store.revision;
    fake_store.erase(keys::kLive + id);
    fake_store.set(keys::kFinished + id, wire::encode_finished({end, 1}));
  }
};

TEST_F(FrontendTest, AnswersNeverGoBackAcrossNodes) {
  EXPECT_EQ(request(a, "GET", "/work/job-1"), "404 ");
  EXPECT_EQ(request(a, "POST", "/work", submission("job-1")), "201 pending");
  EXPECT_EQ(request(b, "GET", "/work/job-1"), "200 pending")
      << "node b reads the new job through the read barrier";
  EXPECT_EQ(request(b, "POST", "/work", submission("job-1")), "200 pending");
  EXPECT_EQ(request(b, "POST", "/work/job-1/cancel"), "200 cancelled");
  EXPECT_EQ(request(a, "GET", "/work/job-1"), "200 cancelled");
  EXPECT_EQ(request(a, "POST", "/work", submission("job-1")), "200 cancelled");
  EXPECT_EQ(request(a, "POST", "/work/job-2/cancel"), "404 ") << "job-2 was never submitted";
  EXPECT_EQ(request(a, "POST", "/work", "x"), "400 ");
}

TEST_F(FrontendTest, RetryFindsAcceptanceWithLostAnswer) {
  fake_store.answers_to_lose = 1;
  EXPECT_EQ(request(a, "POST", "/work", submission("job-7")), "503 ");
  EXPECT_EQ(request(a, "POST", "/work", submission("job-7")), "200 pending");
}

TEST_F(FrontendTest, AnswersNothingOutdatedWhileStoreIsUnavailable) {
  EXPECT_EQ(request(a, "POST", "/work", submission("job-1")), "201 pending");
  fake_store.rejects_all = true;
  EXPECT_EQ(request(a, "GET", "/work/job-1"), "503 ")
      << "job-1 may have been cancelled through another node";
  EXPECT_EQ(request(b, "GET", "/work/job-9"), "503 ")
      << "job-9 may have been accepted by another node";
  EXPECT_EQ(request(b, "POST", "/work", submission("job-9")), "503 ");
}

// Rejected submissions.

TEST_F(FrontendTest, InvalidResubmissionOfAcceptedJobReturnsItsState) {
  prepare(b, 1);  // the cache keeps only one finished job
  b.record_cache->start();
  run_until([&] { return b.record_cache->loaded(); });
  c.types[0].capacity = {0, 0, 0};
  for (const char* id : {"job-1", "job-2", "job-3"})
    EXPECT_EQ(request(a, "POST", "/work", submission(id)), "201 pending");
  const auto invalid_bodies = [](const std::string& id) {
    return std::vector{infeasible_submission(id), submission_without(id, "guild"),
                       oversized_submission(id),
                       submission(id, [](Fields& f) { f["guild"] = f["id"]; })};
  };
  // The cache of a node without earlier requests lacks the job: a read barrier updates it first.
  EXPECT_EQ(request(c, "POST", "/work", submission("job-1")), "200 pending");
  EXPECT_EQ(request(b, "POST", "/work", infeasible_submission("job-1")), "200 pending");
  for (Node* node : nodes)
    for (const auto& body : invalid_bodies("job-2"))
      EXPECT_EQ(request(*node, "POST", "/work", body), "200 pending");
  for (const char* id : {"job-1", "job-2", "job-3"}) finish_job_in_store(id);
  for (Node* node : nodes)
    for (const char* id : {"job-1", "job-2", "job-3"})
      for (const auto& body : invalid_bodies(id))
        EXPECT_EQ(request(*node, "POST", "/work", body), "200 done");
}

TEST_F(FrontendTest, InvalidResubmissionToNodeWithStaleCacheReturnsJobState) {
  const std::vector<std::function<std::string(const std::string&)>> bodies{
      infeasible_submission, oversized_submission,
      [](const std::string& id) { return submission_without(id, "threads"); }};
  for (size_t i = 0; i < bodies.size(); ++i) {
    const std::string id = "job-" + std::to_string(i);
    EXPECT_EQ(request(a, "POST", "/work", submission(id)), "201 pending");
    EXPECT_EQ(request(b, "POST", "/work", bodies[i](id)), "200 pending") << "body " << i;
  }
}

TEST_F(FrontendTest, ResubmissionIsAnsweredWithoutMachineTypes) {
  c.types.clear();
  EXPECT_EQ(request(c, "POST", "/work", submission("job-1")), "503 ");
  EXPECT_EQ(request(a, "POST", "/work", submission("job-1")), "201 pending");
  EXPECT_EQ(request(c, "POST", "/work", submission("job-1")), "200 pending");
}

TEST_F(FrontendTest, RejectsOnlySubmissionsWithoutValidIdWhileStoreIsUnavailable) {
  fake_store.rejects_all = true;
  for (const auto& body : {infeasible_submission("job-1"), submission_without("job-1", "vcpus"),
                           oversized_submission("job-1")})
    EXPECT_EQ(request(a, "POST", "/work", body), "503 ");
  const std::string none = submission_without("job-1", "id");
  const std::string invalid =
      submission("job-1", [](Fields& f) { f["id"] = msgpack::object(int64_t{7}); });
  for (const auto& body : {none, invalid, std::string("x"), std::string()})
    EXPECT_EQ(request(a, "POST", "/work", body), "400 ")
        << "without a valid id it is no accepted job";
}

TEST_F(FrontendTest, RejectsNoSubmissionWithValidIdWhileCacheLoads) {
  Node d;
  prepare(d);
  d.store_endpoint->rejects_lists = true;
  d.record_cache->start();
  EXPECT_EQ(request(a, "POST", "/work", submission("job-1")), "201 pending");
  for (const auto& body : {submission("job-1"), infeasible_submission("job-1"),
                           submission_without("job-1", "vcpus"), oversized_submission("job-1")})
    EXPECT_EQ(request(d, "POST", "/work", body), "503 ");
  EXPECT_EQ(request(d, "GET", "/work/job-1"), "503 ");
  EXPECT_EQ(request(d, "POST", "/work/job-1/cancel"), "503 ");
  EXPECT_EQ(request(d, "POST", "/work", "x"), "400 ");
  d.store_endpoint->rejects_lists = false;
  run_until([&] { return d.record_cache->loaded(); });
  for (const auto& body : {infeasible_submission("job-1"), submission_without("job-1", "vcpus"),
                           oversized_submission("job-1")})
    EXPECT_EQ(request(d, "POST", "/work", body), "200 pending");
}

TEST_F(FrontendTest, RejectsInfeasibleAndIncompleteSubmissions) {
  for (const char* field : {"id", "guild", "weave", "urgency", "threads", "vcpus", "cards",
                            "ram_gb", "together", "scatter", "borrowed"})
    EXPECT_EQ(request(a, "POST", "/work", submission_without("job-1", field)), "400 ")
        << "missing field " << field;
  EXPECT_EQ(request(a, "POST", "/work", oversized_submission("job-1")), "400 ");
  EXPECT_EQ(request(a, "POST", "/work", infeasible_submission("job-1")), "422 ");
  EXPECT_EQ(request(b, "POST", "/work", infeasible_submission("job-1")), "422 ");
  EXPECT_FALSE(fake_store.has(keys::kLive + "job-1"));
  for (Node* node : nodes) {
    EXPECT_EQ(request(*node, "GET", "/work/job-1"), "404 ");
    EXPECT_EQ(request(*node, "POST", "/work/job-1/cancel"), "404 ");
  }
}

// Concurrent requests.

/// Sends requests to all nodes continuously and checks that no answer is older than the newest one
/// received before its request was sent.
struct ContinuousPollers {
  ContinuousPollers(FrontendTest& test, std::string id) : test(test), id(std::move(id)) {
    for (size_t node_index = 0; node_index < test.nodes.size(); ++node_index) poll(node_index);
  }
  static int rank(const std::string& answer) {
    if (answer.starts_with("404")) return 0;
    if (answer.ends_with("pending") || answer.ends_with("running")) return 1;
    return answer.ends_with("done") || answer.ends_with("cancelled") ? 2 : -1;
  }
  void record_answer(const std::string& answer, int min_rank) {
    const int answer_rank = rank(answer);
    if (answer_rank < 0) return;  // not an answer about the job, such as 503
    EXPECT_GE(answer_rank, min_rank) << "older answer about " << id << ": " << answer;
    highest_rank = std::max(highest_rank, answer_rank);
    if (answer_rank == 2) {
      if (final_answer.empty()) final_answer = answer;
      EXPECT_EQ(answer, final_answer);
    }
  }
  void poll(size_t node_index) {
    if (stopped) return;
    ++request_count;
    const int min_rank = highest_rank;
    const bool resubmits = min_rank > 0 && request_count % 3 == 0;
    auto answer = std::make_shared<FrontendTest::Answer>();
    *answer = test.start_request(
        *test.nodes[node_index], resubmits ? "POST" : "GET", resubmits ? "/work" : "/work/" + id,
        resubmits ? submission(id) : "", [this, answer, min_rank, node_index] {
          asio::post(test.io, [this, answer, min_rank, node_index] {
            record_answer(**answer, min_rank);
            ++answer_count;
            poll(node_index);
          });
        });
  }
  /// Waits for three more answers per node, on average.
  void poll_more() {
    const int target_count = answer_count + 3 * static_cast<int>(test.nodes.size());
    test.run_until([&] { return answer_count >= target_count; });
  }
  void stop() {
    stopped = true;
    test.run_until([&] { return answer_count == request_count; });
  }
  FrontendTest& test;
  std::string id, final_answer;
  int highest_rank = 0, request_count = 0, answer_count = 0;
  bool stopped = false;
};

TEST_F(FrontendTest, ConcurrentAnswersNeverGoBackAcrossNodes) {
  for (const bool cancelled : {false, true}) {
    const std::string id = cancelled ? "job-2" : "job-1";
    ContinuousPollers pollers(*this, id);
    pollers.poll_more();
    pollers.record_answer(request(b, "POST", "/work", submission(id)), 0);
    pollers.poll_more();
    EXPECT_EQ(pollers.highest_rank, 1);
    if (cancelled)
      pollers.record_answer(request(c, "POST", "/work/" + id + "/cancel"), 1);
    else
      EXPECT_EQ(finish_job(a, id), TransactionOutcome::Committed);
    pollers.poll_more();
    EXPECT_EQ(pollers.final_answer, cancelled ? "200 cancelled" : "200 done");
    pollers.record_answer(request(a, "POST", "/work/" + id + "/cancel"), 2);
    if (cancelled) finish_job(b, id);
    pollers.poll_more();
    pollers.stop();
  }
}

// Lost and late answers of the key-value store, and late writes.

TEST_F(FrontendTest, AllNodesReportWritesWithLostAnswers) {
  for (const char* id : {"job-1", "job-2"}) {
    fake_store.answers_to_lose = 1;
    const auto unanswered = start_request(a, "POST", "/work", submission(id));
    run_until([&] { return fake_store.answers_to_lose == 0; });
    EXPECT_EQ(request(b, "GET", std::string("/work/") + id), "200 pending");
    EXPECT_EQ(request(c, "POST", "/work", submission(id)), "200 pending");
    run_until([&] { return !unanswered->empty(); });
    EXPECT_EQ(*unanswered, "503 ");
    expect_answer_from_all(id, "200 pending", "after the acceptance");
  }
  fake_store.answers_to_lose = 1;
  EXPECT_EQ(request(c, "POST", "/work/job-1/cancel"), "503 ");
  expect_answer_from_all("job-1", "200 cancelled", "after the cancellation");
  EXPECT_EQ(request(c, "POST", "/work/job-1/cancel"), "200 cancelled");
  for (const auto& [id, end] : {std::pair{"job-1", "200 cancelled"}, {"job-2", "200 done"}}) {
    fake_store.answers_to_lose = 1;
    EXPECT_EQ(finish_job(a, id), TransactionOutcome::Unknown);
    expect_answer_from_all(id, end, "after its end");
    EXPECT_EQ(finish_job(a, id), TransactionOutcome::PreconditionFailed)
        << "the job has already left the live records";
    EXPECT_EQ(request(b, "POST", std::string("/work/") + id + "/cancel"), end);
  }
}

TEST_F(FrontendTest, LateAcceptanceWriteHasNoEffect) {
  fake_store.writes_to_delay = 1;
  EXPECT_EQ(request(a, "POST", "/work", submission("job-1")), "503 ");
  EXPECT_EQ(request(b, "POST", "/work", submission("job-1")), "201 pending");
  EXPECT_EQ(request(b, "POST", "/work/job-1/cancel"), "200 cancelled");
  EXPECT_EQ(fake_store.execute_delayed_writes(), 0);
  expect_answer_from_all("job-1", "200 cancelled", "after another node's acceptance");
}

TEST_F(FrontendTest, LateAcceptanceWriteDoesNotRestoreFinishedJob) {
  fake_store.writes_to_delay = 1;
  EXPECT_EQ(request(a, "POST", "/work", submission("job-1")), "503 ");
  EXPECT_EQ(request(b, "POST", "/work", submission("job-1")), "201 pending");
  EXPECT_EQ(finish_job(b, "job-1"), TransactionOutcome::Committed);
  EXPECT_EQ(fake_store.execute_delayed_writes(), 0);
  EXPECT_FALSE(fake_store.has(keys::kLive + "job-1"));
  expect_answer_from_all("job-1", "200 done", "after its end");
}

TEST_F(FrontendTest, LateCancellationWriteDoesNotChangeFinishedJob) {
  EXPECT_EQ(request(a, "POST", "/work", submission("job-1")), "201 pending");
  fake_store.writes_to_delay = 1;
  EXPECT_EQ(request(b, "POST", "/work/job-1/cancel"), "503 ");
  EXPECT_EQ(finish_job(a, "job-1"), TransactionOutcome::Committed);
  EXPECT_EQ(fake_store.execute_delayed_writes(), 0);
  EXPECT_FALSE(fake_store.has(keys::kLive + "job-1"));
  expect_answer_from_all("job-1", "200 done", "after its end");
}

TEST_F(FrontendTest, AllNodesReportLateCancellationWriteOfLiveJob) {
  EXPECT_EQ(request(a, "POST", "/work", submission("job-1")), "201 pending");
  fake_store.writes_to_delay = 1;
  EXPECT_EQ(request(b, "POST", "/work/job-1/cancel"), "503 ");
  expect_answer_from_all("job-1", "200 pending", "before the late cancellation");
  EXPECT_EQ(fake_store.execute_delayed_writes(), 1);
  expect_answer_from_all("job-1", "200 cancelled", "after the late cancellation");
  EXPECT_EQ(finish_job(c, "job-1"), TransactionOutcome::Committed);
  expect_answer_from_all("job-1", "200 cancelled", "after its end");
}

/// The answer to a write arrives after the cache was reloaded, and describes an outdated state.
TEST_F(FrontendTest, LateAnswerAfterReloadDoesNotRestoreFinishedJob) {
  fake_store.answers_to_hold = 1;
  const auto accepted = start_request(a, "POST", "/work", submission("job-1"));
  run_until([&] { return fake_store.answers_to_hold == 0; });
  EXPECT_EQ(request(b, "GET", "/work/job-1"), "200 pending");
  EXPECT_EQ(finish_job(b, "job-1"), TransactionOutcome::Committed);
  run_until([&] { return !a.store_endpoint->held_watches.empty(); });
  a.store_endpoint->end_watches(410);
  run_until([&] { return !a.record_cache->loaded(); });
  run_until([&] { return a.record_cache->loaded(); });
  fake_store.send_held_answers();
  run_until([&] { return !accepted->empty(); });
  EXPECT_EQ(a.record_cache->live_job("job-1"), nullptr);
  expect_answer_from_all("job-1", "200 done", "after the late answer");
}

// Races with the end of a job.

TEST_F(FrontendTest, CancellationBeforeEndWins) {
  EXPECT_EQ(request(a, "POST", "/work", submission("job-1")), "201 pending");
  EXPECT_EQ(request(b, "POST", "/work/job-1/cancel"), "200 cancelled");
  EXPECT_EQ(finish_job(a, "job-1"), TransactionOutcome::PreconditionFailed)
      << "node a's cache holds the version before the cancellation";
  expect_answer_from_all("job-1", "200 cancelled", "before its end");
  EXPECT_EQ(finish_job(a, "job-1"), TransactionOutcome::Committed);
  expect_answer_from_all("job-1", "200 cancelled", "after its end");
}

TEST_F(FrontendTest, EndBetweenReadAndWriteOfCancellationWins) {
  EXPECT_EQ(request(a, "POST", "/work", submission("job-1")), "201 pending");
  fake_store.before_request = [&](const HttpRequest& r) {
    if (r.path != "/multi") return false;
    finish_job_in_store("job-1");
    return true;
  };
  EXPECT_EQ(request(b, "POST", "/work/job-1/cancel"), "200 done");
  expect_answer_from_all("job-1", "200 done", "after its end");
}

TEST_F(FrontendTest, EndRacesWithCancellationQueryAndResubmission) {
  for (int i = 0; i < 6; ++i) {
    const std::string id = "job-" + std::to_string(i);
    const std::string path = "/work/" + id;
    EXPECT_EQ(request(a, "POST", "/work", submission(id)), "201 pending");
    std::vector<Answer> answers;
    answers.push_back(start_request(b, "POST", path + "/cancel"));
    if (i % 2) run_until([&] { return b.record_cache->live_job(id) != nullptr; });
    answers.push_back(start_request(c, "GET", path));
    answers.push_back(start_request(c, "POST", "/work", submission(id)));
    const bool ended = finish_job(a, id) == TransactionOutcome::Committed;
    const std::string end = ended ? "200 done" : "200 cancelled";
    run_until([&] {
      return std::all_of(answers.begin(), answers.end(), [](auto& x) { return !x->empty(); });
    });
    EXPECT_EQ(*answers[0], end);
    for (const auto& answer : answers) EXPECT_TRUE(*answer == end || *answer == "200 pending");
    expect_answer_from_all(id, end, "after the concurrent requests");
  }
}

// Jobs with dependencies.

struct FrontendDependencyTest : FrontendTest {
  void submit_chain() {
    EXPECT_EQ(request(a, "POST", "/work", submission("job-1")), "201 pending");
    EXPECT_EQ(request(a, "POST", "/work", dependent_submission("job-2", {"job-1"})), "201 pending");
    EXPECT_EQ(request(a, "POST", "/work", dependent_submission("job-3", {"job-2"})), "201 pending");
  }
  /// Loads the chain as pending into a node's cache, which stays as it is until the next read
  /// barrier.
  void query_chain(Node& node) {
    for (const char* id : {"job-1", "job-2", "job-3"})
      EXPECT_EQ(request(node, "GET", std::string("/work/") + id), "200 pending");
  }
  void restart(Node& node) {
    prepare(node);
    node.record_cache->start();
    run_until([&] { return node.record_cache->loaded(); });
  }
  /// Ends a job in its live record without moving it to the finished records, as while its tasks
  /// are stopping.
  void set_state_in_store(const std::string& id, JobState end) {
    const auto live_record = wire::Document::parse(fake_store.keys.at(keys::kLive + id).value);
    JobRecord record = *wire::decode_job(live_record->root());
    record.state = end;
    ++fake_store.revision;
    fake_store.set(keys::kLive + id, wire::encode_job(record));
  }
};

TEST_F(FrontendDependencyTest, RejectsDependencyOnUnknownJob) {
  for (Node* node : nodes) {
    EXPECT_EQ(request(*node, "POST", "/work", dependent_submission("job-2", {"job-1"})), "422 ");
    EXPECT_EQ(request(*node, "GET", "/work/job-2"), "404 ");
  }
  EXPECT_EQ(request(a, "POST", "/work", submission("job-1")), "201 pending");
  EXPECT_EQ(request(b, "POST", "/work", dependent_submission("job-2", {"job-1", "job-9"})), "422 ");
  EXPECT_EQ(request(b, "POST", "/work", dependent_submission("job-2", {"job-9", "job-1"})), "422 ");
  EXPECT_FALSE(fake_store.has(keys::kLive + "job-2"));
  EXPECT_EQ(request(c, "POST", "/work", dependent_submission("job-2", {"job-1"})), "201 pending")
      << "node c reads job-1 through the read barrier";
}

TEST_F(FrontendDependencyTest, IsUnavailableWhileDependencyCannotBeLookedUp) {
  EXPECT_EQ(request(a, "POST", "/work", submission("job-1")), "201 pending");
  fake_store.rejects_all = true;
  for (Node* node : nodes)
    EXPECT_EQ(request(*node, "POST", "/work", dependent_submission("job-2", {"job-1"})), "503 ");
  fake_store.rejects_all = false;
  finish_job_in_store("job-1");
  b.store_endpoint->rejects_item_reads = true;
  EXPECT_EQ(request(b, "POST", "/work", dependent_submission("job-2", {"job-9"})), "503 ");
  b.store_endpoint->rejects_item_reads = false;
  EXPECT_EQ(request(b, "POST", "/work", dependent_submission("job-2", {"job-9"})), "422 ");
  EXPECT_EQ(request(b, "POST", "/work", dependent_submission("job-2", {"job-1"})), "201 pending");
}

TEST_F(FrontendDependencyTest, ResubmissionWithOtherDependenciesReturnsRecordedState) {
  submit_chain();
  for (Node* node : nodes) {
    EXPECT_EQ(request(*node, "POST", "/work", dependent_submission("job-2", {"job-9"})),
              "200 pending");
    EXPECT_EQ(request(*node, "POST", "/work", dependent_submission("job-3", {"job-3"})),
              "200 pending");
  }
  EXPECT_EQ(request(b, "POST", "/work/job-1/cancel"), "200 cancelled");
  for (Node* node : nodes)
    EXPECT_EQ(request(*node, "POST", "/work", dependent_submission("job-2", {"job-9"})),
              "200 cancelled");
}

TEST_F(FrontendDependencyTest, FinishedDependencyIsLeftOutOfRecord) {
  submit_chain();
  finish_job_in_store("job-1");
  EXPECT_EQ(request(b, "POST", "/work", dependent_submission("job-4", {"job-1", "job-2"})),
            "201 pending");
  const auto* record = b.record_cache->live_job("job-4");
  ASSERT_NE(record, nullptr);
  EXPECT_EQ(record->value.spec.dependencies, std::vector<std::string>{"job-2"});
}

TEST_F(FrontendDependencyTest, DependentOfCancelledJobIsAcceptedAsCancelled) {
  EXPECT_EQ(request(a, "POST", "/work", submission("job-1")), "201 pending");
  EXPECT_EQ(request(b, "POST", "/work/job-1/cancel"), "200 cancelled");
  EXPECT_EQ(request(c, "POST", "/work", dependent_submission("job-2", {"job-1"})), "201 cancelled");
  expect_answer_from_all("job-2", "200 cancelled", "after the submission");
  finish_job_in_store("job-1", JobState::Cancelled);
  EXPECT_EQ(request(a, "POST", "/work", dependent_submission("job-3", {"job-1"})), "201 cancelled");
  EXPECT_EQ(request(b, "POST", "/work", dependent_submission("job-4", {"job-3"})), "201 cancelled");
  expect_answer_from_all("job-4", "200 cancelled",
                         "which depends on the cancelled job through one other");
}

/// Another node has confirmed the cancellation to a user; the accepting node's cache lacks it.
TEST_F(FrontendDependencyTest, NodeWithStaleCacheAcceptsDependentOfCancelledJobAsCancelled) {
  submit_chain();
  query_chain(b);
  EXPECT_EQ(request(a, "POST", "/work/job-1/cancel"), "200 cancelled");
  EXPECT_EQ(request(b, "POST", "/work", dependent_submission("job-4", {"job-1"})), "201 cancelled");
}

TEST_F(FrontendDependencyTest, ConfirmedCancellationAppliesToDependentsOnAllNodes) {
  submit_chain();
  query_chain(b), query_chain(c);
  EXPECT_EQ(request(b, "POST", "/work/job-1/cancel"), "200 cancelled");
  EXPECT_EQ(request(c, "GET", "/work/job-3"), "200 cancelled")
      << "job-3 depends on job-1 through job-2";
  expect_answer_from_all("job-3", "200 cancelled",
                         "which depends on the cancelled job through one other");
  expect_answer_from_all("job-2", "200 cancelled", "which depends on the cancelled job directly");
  EXPECT_EQ(request(a, "POST", "/work/job-3/cancel"), "200 cancelled");
  finish_job_in_store("job-1", JobState::Cancelled);
  expect_answer_from_all("job-3", "200 cancelled", "after the end of job-1");
}

/// The record names a dependency that is pending in the accepting node's cache, but was cancelled
/// through a dependency of its own.
TEST_F(FrontendDependencyTest, DependentSubmittedAfterCancellationInheritsIt) {
  submit_chain();
  query_chain(b);
  EXPECT_EQ(request(a, "POST", "/work/job-1/cancel"), "200 cancelled");
  request(b, "POST", "/work", dependent_submission("job-4", {"job-3"}));
  const auto* record = b.record_cache->live_job("job-4");
  ASSERT_NE(record, nullptr);
  EXPECT_EQ(record->value.spec.dependencies, std::vector<std::string>{"job-3"})
      << "node b's cache holds job-3 as pending";
  expect_answer_from_all("job-4", "200 cancelled",
                         "which depends on the cancelled job through two others");
}

TEST_F(FrontendDependencyTest, DependentsStayPendingIfJobEndedBeforeCancellation) {
  submit_chain();
  fake_store.before_request = [&](const HttpRequest& r) {
    if (r.path != "/multi") return false;
    finish_job_in_store("job-1");
    return true;
  };
  EXPECT_EQ(request(b, "POST", "/work/job-1/cancel"), "200 done");
  expect_answer_from_all("job-2", "200 pending", "after the end of job-1");
  expect_answer_from_all("job-3", "200 pending", "after the end of job-1");
}

TEST_F(FrontendDependencyTest, RestartedNodeAnswersOnlyOnceItHasReadEndsOfDependencies) {
  for (const JobState end : {JobState::Done, JobState::Cancelled}) {
    const std::string suffix = end == JobState::Done ? "1" : "2";
    const std::string first = "job-1" + suffix;
    const std::string second = "job-2" + suffix;
    const std::string third = "job-3" + suffix;
    EXPECT_EQ(request(a, "POST", "/work", submission(first)), "201 pending");
    EXPECT_EQ(request(a, "POST", "/work", dependent_submission(second, {first})), "201 pending");
    EXPECT_EQ(request(a, "POST", "/work", dependent_submission(third, {second})), "201 pending");
    finish_job_in_store(first, end);
    c.store_endpoint->rejects_item_reads = true;
    restart(c);
    EXPECT_EQ(request(c, "GET", "/work/" + third), "503 ");
    EXPECT_EQ(request(c, "POST", "/work/" + third + "/cancel"), "503 ");
    c.store_endpoint->rejects_item_reads = false;
    const std::string expected = end == JobState::Done ? "200 pending" : "200 cancelled";
    run_until([&] { return request(c, "GET", "/work/" + third) != "503 "; });
    expect_answer_from_all(third, expected, "after the dependency was read");
    expect_answer_from_all(second, expected, "after the dependency was read");
  }
}

/// The leader moves an ended job to the finished records once all its tasks are gone, which may
/// take long.
TEST_F(FrontendDependencyTest, RestartedNodeUsesEndedDependenciesInLiveRecords) {
  submit_chain();
  EXPECT_EQ(request(a, "POST", "/work", submission("job-4")), "201 pending");
  EXPECT_EQ(request(a, "POST", "/work", dependent_submission("job-5", {"job-4"})), "201 pending");
  set_state_in_store("job-1", JobState::Cancelled);
  set_state_in_store("job-4", JobState::Done);
  restart(c);
  EXPECT_EQ(request(c, "GET", "/work/job-3"), "200 cancelled");
  EXPECT_EQ(request(c, "GET", "/work/job-5"), "200 pending");
}

/// As above, for a node that reads the end of a job on which no other job depends yet.
TEST_F(FrontendDependencyTest, NewDependentUsesEndedDependencyInLiveRecord) {
  EXPECT_EQ(request(a, "POST", "/work", submission("job-1")), "201 pending");
  EXPECT_EQ(request(b, "GET", "/work/job-1"), "200 pending");
  EXPECT_EQ(request(a, "POST", "/work/job-1/cancel"), "200 cancelled");
  request(b, "POST", "/work", dependent_submission("job-2", {"job-1"}));
  expect_answer_from_all("job-2", "200 cancelled", "while job-1 has a live record");
}

/// The leader's node must pass the end of a dependency to its scheduler even after the cache has
/// evicted the finished job.
TEST_F(FrontendDependencyTest, EndOfDependencyIsFoundAfterCacheEviction) {
  prepare(b, 1);
  b.record_cache->start();
  run_until([&] { return b.record_cache->loaded(); });
  for (const char* id : {"job-1", "job-2", "job-3"})
    EXPECT_EQ(request(b, "POST", "/work", submission(id)), "201 pending");
  EXPECT_EQ(request(b, "POST", "/work", dependent_submission("job-4", {"job-1", "job-2"})),
            "201 pending");
  finish_job_in_store("job-1"), finish_job_in_store("job-3");
  EXPECT_EQ(request(b, "GET", "/work/job-3"), "200 done");
  EXPECT_EQ(request(b, "GET", "/work/job-4"), "200 pending");
  EXPECT_EQ(b.record_cache->finished_job("job-1"), nullptr);
  const auto end = b.record_cache->dependency_outcome("job-1");
  ASSERT_TRUE(end.has_value());
  EXPECT_EQ(end->state, JobState::Done);
}

// Records that move or are loaded during a request.

TEST_F(FrontendTest, EvictedFinishedJobsAreReadAgain) {
  prepare(b, 1);
  b.record_cache->start();
  run_until([&] { return b.record_cache->loaded(); });
  for (const char* id : {"job-1", "job-2", "job-3"})
    EXPECT_EQ(request(b, "POST", "/work", submission(id)), "201 pending");
  finish_job_in_store("job-1"), finish_job_in_store("job-2", JobState::Cancelled),
      finish_job_in_store("job-3");
  for (int round = 0; round < 2; ++round) {
    for (const auto& [id, end] :
         {std::pair{"job-1", "200 done"}, {"job-2", "200 cancelled"}, {"job-3", "200 done"}}) {
      EXPECT_EQ(request(b, "GET", std::string("/work/") + id), end);
      EXPECT_EQ(request(b, "POST", "/work", submission(id)), end);
      EXPECT_EQ(request(b, "POST", std::string("/work/") + id + "/cancel"), end);
      EXPECT_EQ(b.record_cache->live_job(id), nullptr);
    }
  }
}

TEST_F(FrontendTest, JobIsFoundWhileItMovesToFinishedRecords) {
  // The job finishes between the read barrier and the read of its finished record.
  fake_store.before_request = [&](const HttpRequest& r) {
    if (!r.path.starts_with("/store/")) return false;
    finish_job_in_store("job-1");
    return true;
  };
  EXPECT_EQ(request(b, "GET", "/work/job-1"), "200 done");
  EXPECT_EQ(request(a, "POST", "/work", submission("job-2")), "201 pending");
  // The job finishes before the read barrier.
  fake_store.before_request = [&](const HttpRequest& r) {
    if (r.path != "/changes") return false;
    finish_job_in_store("job-2");
    return true;
  };
  EXPECT_EQ(request(c, "GET", "/work/job-2"), "200 done");
  expect_answer_from_all("job-2", "200 done", "after its end");
}

TEST_F(FrontendTest, WaitingRequestIsNotAnsweredFromLoadingCache) {
  EXPECT_EQ(request(a, "POST", "/work", submission("job-1")), "201 pending");
  EXPECT_EQ(request(b, "GET", "/work/job-1"), "200 pending");
  run_until([&] { return !b.store_endpoint->held_watches.empty(); });
  b.store_endpoint->rejects_lists = true;
  // The second request waits for the next read barrier when the cache starts to load.
  const auto first = start_request(b, "GET", "/work/job-1");
  const auto second = start_request(b, "GET", "/work/job-1");
  const auto third = start_request(b, "POST", "/work", infeasible_submission("job-1"));
  b.store_endpoint->end_watches(410);
  run_until([&] { return !first->empty() && !second->empty() && !third->empty(); });
  for (const auto& answer : {first, second, third})
    EXPECT_TRUE(*answer == "200 pending" || *answer == "503 ")
        << "expected 200 pending or 503, got " << *answer;
  EXPECT_FALSE(b.record_cache->loaded());
  b.store_endpoint->rejects_lists = false;
  run_until([&] { return b.record_cache->loaded(); });
  expect_answer_from_all("job-1", "200 pending", "after the cache was loaded");
}

TEST_F(FrontendTest, CacheLoadFromEmptyStoreMissesNoChangeBetweenPages) {
  // At revision 0 nothing was ever written to the store: the first page is empty.
  fake_store.revision = 0;
  prepare(b);
  fake_store.before_request = [&](const HttpRequest& request) {
    if (request.query.find(keys::kHost) == std::string::npos) return false;
    ++fake_store.revision;
    fake_store.set(keys::kLeader, wire::encode_leader({"n", 1, 1, 1}));
    return true;
  };
  b.record_cache->start();
  run_until([&] { return b.record_cache->loaded(); });
  std::optional<bool> up_to_date;
  b.record_cache->read_barrier([&](bool is_up_to_date) { up_to_date = is_up_to_date; });
  run_until([&] { return up_to_date.has_value(); });
  EXPECT_TRUE(*up_to_date);
  EXPECT_EQ(b.record_cache->leader().value.node, "n");
}

TEST_F(FrontendTest, ReorderedChangesGiveSameCache) {
  fake_store.reverses_changes = true;
  const std::string host = wire::encode_host({"i-1", "127.0.0.1:1", "g", "e", false});
  ++fake_store.revision, fake_store.set(keys::kHost + "i-1", host);
  ++fake_store.revision, fake_store.set(keys::kHost + "i-2", host);
  ++fake_store.revision, fake_store.erase(keys::kHost + "i-1");
  EXPECT_EQ(request(b, "GET", "/work/job-1"), "404 ");
  EXPECT_EQ(b.record_cache->hosts().size(), 1u);
  EXPECT_TRUE(b.record_cache->hosts().count("i-2"));
}

// Size limits that the key-value store lowers without notice.

/// A record larger than the lowered limit: hundreds of hosts, and every other task done.
JobRecord oversized_record(const std::string& id) {
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

TEST_F(FrontendTest, OversizedRecordIsReadAndCancelledAfterLimitsAreLowered) {
  ++fake_store.revision;
  fake_store.set(keys::kLive + "job-1", wire::encode_job(oversized_record("job-1")));
  b.settings.state_value_kb = 2;
  prepare(b);
  b.record_cache->start();
  run_until([&] { return b.record_cache->loaded(); });
  fake_store.max_value_bytes = 2048;
  EXPECT_EQ(request(b, "GET", "/work/job-1"), "200 pending");
  EXPECT_EQ(request(b, "POST", "/work/job-1/cancel"), "200 cancelled");
  EXPECT_EQ(request(a, "GET", "/work/job-1"), "200 cancelled");
  const auto* cancelled = a.record_cache->live_job("job-1");
  ASSERT_NE(cancelled, nullptr);
  EXPECT_FALSE(cancelled->value.hosts) << "without a list of hosts, any machine may run its tasks";
  EXPECT_GT(cancelled->value.done.count(), 0u);
}

TEST_F(FrontendTest, SubmissionSizeIsMeasuredInJsonForm) {
  static msgpack::zone zone;
  const std::string body = submission("job-1", [](Fields& f) {
    f["bolt"] = msgpack::object(std::string(190, '\1'), zone);  // JSON escapes each character
  });
  b.settings.state_value_kb = 2;
  prepare(b);
  b.record_cache->start();
  run_until([&] { return b.record_cache->loaded(); });
  ASSERT_LT(2 * body.size(), b.settings.state_value_bytes());
  EXPECT_EQ(request(b, "POST", "/work", body), "400 ");
  EXPECT_EQ(request(a, "POST", "/work", body), "201 pending") << "node a's size limit is larger";
}

TEST_F(FrontendTest, TooLargeTransactionIsReportedAndCommitsOnceSmaller) {
  std::optional<TransactionResult> result;
  const auto compare_and_swap = [&](size_t mutation_count, uint64_t lease) {
    std::vector<wire::Mutation> mutations;
    for (size_t i = 0; i < mutation_count; ++i)
      mutations.push_back({keys::kHost + std::to_string(i),
                           wire::encode_host({"i-1", "127.0.0.1:1", "g", "e", false}), lease});
    result.reset();
    a.store->compare_and_swap(RequestPriority::Record, {}, mutations,
                              [&](const TransactionResult& t) { result = t; });
    run_until([&] { return result.has_value(); });
    return result->outcome;
  };
  EXPECT_EQ(compare_and_swap(24, 0), TransactionOutcome::Committed);
  fake_store.max_changes = 8;
  EXPECT_EQ(compare_and_swap(24, 0), TransactionOutcome::TooLarge);
  EXPECT_EQ(compare_and_swap(24, 7), TransactionOutcome::NoLease)
      << "with a lease, the reply does not tell an oversized transaction from an ended lease";
  EXPECT_EQ(compare_and_swap(8, 0), TransactionOutcome::Committed);
  fake_store.max_value_bytes = 16;
  EXPECT_EQ(compare_and_swap(1, 0), TransactionOutcome::TooLarge);
}

TEST_F(FrontendTest, SubmissionTooLargeForStoreCanBeRetried) {
  fake_store.max_value_bytes = 16;
  EXPECT_EQ(request(a, "POST", "/work", submission("job-1")), "503 ");
  fake_store.max_value_bytes = 2048;
  EXPECT_EQ(request(a, "POST", "/work", submission("job-1")), "201 pending");
}

/// All tasks of the jobs are done. Moving a job to the finished records takes two changes.
TEST_F(FrontendTest, LeaderWritesRecordsInSmallPartsAfterSizeRejection) {
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
    ++fake_store.revision;
    fake_store.set(keys::kLive + id, wire::encode_job(record));
    active->on_job_record(record, fake_store.revision, 0);
  }
  EXPECT_EQ(request(a, "GET", "/work/job-1"), "200 pending");
  RecordWriter writer(a.settings, *a.store, *a.record_cache, active, [] {});
  fake_store.max_changes = 4;
  const auto all_finished = [&] {
    writer.write_planned_records();
    return std::all_of(ids.begin(), ids.end(),
                       [&](const auto& id) { return fake_store.has(keys::kFinished + id); });
  };
  const auto start = std::chrono::steady_clock::now();
  run_until(all_finished);
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
  EXPECT_EQ(fake_store.transaction_count, 1 + kJobs)
      << "one rejected transaction, then one per job";
  EXPECT_GE(elapsed.count(), a.settings.heartbeat_period_s)
      << "the writer pauses after the rejection";
}

// Recovery after faults.

struct FrontendFaultTest : FrontendTest {
  /// Sends more concurrent requests than the front end admits during a fault, and sequential
  /// requests after it.
  void expect_recovery(Node& node, const std::function<void()>& start_fault,
                       const std::function<void()>& end_fault) {
    EXPECT_EQ(request(a, "POST", "/work", submission("job-1")), "201 pending");
    start_fault();
    std::vector<Answer> answers;
    for (int i = 0; i < 30; ++i) {
      answers.push_back(start_request(node, "GET", "/work/job-1"));
      answers.push_back(
          start_request(node, "POST", "/work", submission("job-" + std::to_string(100 + i))));
      answers.push_back(start_request(node, "POST", "/work/job-7/cancel"));
    }
    run_until([&] {
      return std::all_of(answers.begin(), answers.end(), [](auto& x) { return !x->empty(); });
    });
    for (const auto& answer : answers)
      EXPECT_TRUE(*answer == "503 " || *answer == "429 ")
          << "expected 503 or 429 during the fault, got " << *answer;
    end_fault();
    for (int i = 0; i < 30; ++i)
      EXPECT_EQ(request(node, "GET", "/work/job-1"), "200 pending") << "query " << i;
    EXPECT_EQ(node.frontend->in_progress(), 0);
    EXPECT_EQ(request(node, "POST", "/work", submission("job-2")), "201 pending");
    expect_answer_from_all("job-2", "200 pending", "after the fault");
  }
};

TEST_F(FrontendFaultTest, AnswersAllRequestsAfterStoreRejectedOneNode) {
  expect_recovery(
      b, [&] { b.store_endpoint->forced_status = 503; },
      [&] { b.store_endpoint->forced_status = 0; });
  EXPECT_EQ(request(a, "GET", "/work/job-1"), "200 pending");
}

TEST_F(FrontendFaultTest, AnswersAllRequestsAfterStoreThrottledOneNode) {
  expect_recovery(
      b, [&] { b.store_endpoint->forced_status = 429; },
      [&] { b.store_endpoint->forced_status = 0; });
}

TEST_F(FrontendFaultTest, AnswersAllRequestsAfterStoreTimedOut) {
  expect_recovery(
      b, [&] { b.store_endpoint->drops_requests = true; },
      [&] { b.store_endpoint->drops_requests = false; });
}

TEST_F(FrontendFaultTest, DisconnectedUsersLeaveConcurrencyLimit) {
  EXPECT_EQ(request(a, "POST", "/work", submission("job-1")), "201 pending");
  HttpServer user_server(
      io, Endpoint{"127.0.0.1", 0}, HttpLimits{},
      [&](const HttpRequest& r, const Respond& respond) { b.frontend->handle(r, respond); });
  HttpClient client(io, {"127.0.0.1", user_server.port()}, 40, 40);
  b.store_endpoint->drops_requests = true;
  int unanswered = 0;
  int store_requests = 0;
  fake_store.before_request = [&](const HttpRequest&) { return ++store_requests < 0; };
  for (int i = 0; i < 40; ++i)
    client.request("GET", "/work/job-1", "", 0.4,
                   [&](const HttpResult& r) { unanswered += !r.answered; });
  run_until([&] { return store_requests > 0; });
  user_server.close_all();
  run_until([&] { return unanswered > 0 && client.in_progress() == 0; });
  fake_store.before_request = nullptr;
  b.store_endpoint->drops_requests = false;
  // Their requests count against the limit for as long as they wait for the key-value store.
  run_until([&] { return request(b, "GET", "/work/job-1") == "200 pending"; });
  run_until([&] { return b.frontend->in_progress() == 0; });
}

TEST_F(FrontendFaultTest, ReloadsCacheWhenChangesExceedResponseSizeLimit) {
  EXPECT_EQ(request(a, "POST", "/work", submission("job-1")), "201 pending");
  b.settings.lease_s = 2;  // the age at which an outdated cache is reloaded
  prepare(b);
  b.record_cache->start();
  run_until([&] { return b.record_cache->loaded(); });
  EXPECT_EQ(finish_job(a, "job-1"), TransactionOutcome::Committed);
  const std::string value = '\xda' + std::string("\x1f\xff") + std::string(0x1fff, 'x');
  for (int i = 0; i < 600; ++i) {
    const std::string key = "sq/passing/" + std::to_string(i);
    ++fake_store.revision, fake_store.set(key, value);
    ++fake_store.revision, fake_store.erase(key);
  }
  EXPECT_EQ(request(b, "GET", "/work/job-1"), "503 ")
      << "5 MB of changes exceed the size limit of a response";
  run_until([&] { return request(b, "GET", "/work/job-1") == "200 done"; });
  EXPECT_EQ(request(b, "GET", "/work/job-2"), "404 ");
}

TEST_F(FrontendFaultTest, KeepsOutdatedCacheWhileStoreIsSilent) {
  EXPECT_EQ(request(a, "POST", "/work", submission("job-1")), "201 pending");
  b.settings.lease_s = 1;
  prepare(b);
  b.record_cache->start();
  run_until([&] { return b.record_cache->loaded(); });
  b.store_endpoint->drops_requests = true;
  const auto outdated_at = std::chrono::steady_clock::now() + std::chrono::seconds(3);
  run_until([&] {
    return request(b, "GET", "/work/job-1") == "503 " &&
           std::chrono::steady_clock::now() > outdated_at;
  });
  EXPECT_TRUE(b.record_cache->loaded());
  EXPECT_NE(b.record_cache->live_job("job-1"), nullptr);
  b.store_endpoint->drops_requests = false;
  run_until([&] { return request(b, "GET", "/work/job-1") == "200 pending"; });
}

}  // namespace
}  // namespace sumacquay
