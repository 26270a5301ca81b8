// Two nodes' users' sides against a delegate for the state service, over loopback.
#include <gtest/gtest.h>

#include <deque>
#include <map>

#include "frontend/frontend.h"

namespace sumacquay {
namespace {

/// Keys, versions and a log of changes; watches are held until something changes.
class StateStandIn {
 public:
  explicit StateStandIn(asio::io_context& io)
      : server(io, Endpoint{"127.0.0.1", 0}, HttpLimits{},
               [this](const HttpRequest& r, Respond respond) { handle(r, std::move(respond)); }) {}

  HttpServer server;
  bool refuse = false;
  int lost_answers = 0;  ///< transactions that are carried out without an answer
  uint64_t revision = 1;
  std::map<std::string, std::pair<msgpack::object_handle, uint64_t>> keys;

 private:
  using Packer = msgpack::packer<msgpack::sbuffer>;

  static std::string argument(const std::string& query, const std::string& name) {
    const auto at = ("&" + query).find("&" + name + "=");
    if (at == std::string::npos) return "";
    const auto from = at + name.size() + 1;
    return query.substr(from, query.find('&', from) - from);
  }

  void item(Packer& p, const std::string& name, const std::string& key) {
    p.pack_map(3);
    p.pack(name), p.pack(key);
    p.pack(std::string("v")), p.pack(keys.at(key).first.get());
    p.pack(std::string("stamp")), p.pack(keys.at(key).second);
  }

  void handle(const HttpRequest& r, Respond respond) {
    if (refuse) return respond({503, {}, 0});
    msgpack::sbuffer out;
    Packer p(out);
    int status = 200;
    if (r.path == "/multi") {
      status = transact(r, p);
      if (lost_answers > 0) return void(--lost_answers);
    } else if (r.path == "/store" || r.path == "/changes") {
      const bool changes = r.path == "/changes";
      const uint64_t after = changes ? std::stoull(argument(r.query, "after")) : 0;
      if (changes && argument(r.query, "block_ms") != "0")
        return;  // the barrier alone is looked at
      list(p, argument(r.query, "under"), changes ? "log" : "items", changes ? "set" : "path",
           after);
    } else {
      const std::string key = r.path.substr(std::string("/store/").size());
      status = keys.count(key) ? 200 : 404;
      if (status == 200)
        item(p, "path", key);
      else
        p.pack_map(0);
    }
    respond({status, {out.data(), out.size()}, 0});
  }

  void list(Packer& p, const std::string& under, const char* name, const char* key_name,
            uint64_t after) {
    std::vector<std::string> found;
    for (const auto& [key, v] : keys)
      if (key.starts_with(under) && v.second > after) found.push_back(key);
    p.pack_map(2);
    p.pack(std::string("epoch")), p.pack(revision);
    p.pack(std::string(name));
    p.pack_array(static_cast<uint32_t>(found.size()));
    for (const auto& key : found) item(p, key_name, key);
  }

  int transact(const HttpRequest& r, Packer& p) {
    const auto document = wire::Document::parse(r.body);
    const auto guards = document->root()["guards"], apply = document->root()["apply"];
    bool holds = true;
    for (size_t i = 0; i < guards.size(); ++i) {
      const auto it = keys.find(*guards.at(i)["path"].text());
      holds = holds && (it == keys.end() ? 0 : it->second.second) == *guards.at(i)["stamp"].count();
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
      msgpack::sbuffer value;
      msgpack::pack(value, list[i].at("v"));
      keys[*apply.at(i)["set"].text()] = {msgpack::unpack(value.data(), value.size()), revision};
    }
    return 200;
  }
};

struct TwoNodes : ::testing::Test {
  asio::io_context io;
  StateStandIn state{io};
  Settings settings;
  std::vector<MachineType> types;
  struct Side {
    std::unique_ptr<StoreClient> store;
    std::unique_ptr<Mirror> mirror;
    std::unique_ptr<Frontend> frontend;
  };
  Side a, b;

  TwoNodes() {
    settings.state = {"127.0.0.1", state.server.port()};
    settings.teams = {TeamSettings{"t", 0, 0, 0, 0}};
    MachineType g;
    g.name = "g";
    g.room = {8, 8, 64};
    g.zones = {"e"};
    types = {g};
    for (Side* s : {&a, &b}) {
      s->store = std::make_unique<StoreClient>(io, settings);
      s->mirror = std::make_unique<Mirror>(io, settings, *s->store);
      s->frontend = std::make_unique<Frontend>(
          settings, *s->store, *s->mirror,
          Frontend::Sources{[this]() -> const std::vector<MachineType>& { return types; },
                            [](const std::string& id) {
                              return wire::RunningCount{id, 0, 0};
                            },
                            [] { return uint64_t{1}; }});
      s->mirror->start();
      until([s] { return s->mirror->loaded(); });
    }
  }

  void until(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!done() && std::chrono::steady_clock::now() < end)
      io.run_one_for(std::chrono::milliseconds(20));
    ASSERT_TRUE(done());
  }

  std::string ask(Side& s, const std::string& method, const std::string& path,
                  std::string body = "") {
    std::optional<HttpReply> reply;
    EXPECT_TRUE(s.frontend->handle({method, path, "", std::move(body)},
                                   [&](HttpReply r) { reply = std::move(r); }));
    until([&] { return reply.has_value(); });
    const auto d = wire::Document::parse(reply->body);
    return std::to_string(reply->status) + (d ? " " + d->root()["stage"].text_or("") : "");
  }

  static std::string submission(const std::string& id) {
    JobRecord r;
    r.spec.id = id;
    r.spec.team = "t";
    r.spec.need = {1, 1, 1};
    const std::string bytes = wire::encode_job(r);
    const auto whole = msgpack::unpack(bytes.data(), bytes.size());
    msgpack::sbuffer body;
    msgpack::pack(body, whole.get().via.map.ptr[0].val);
    return {body.data(), body.size()};
  }
};

TEST_F(TwoNodes, NoNodeGivesAnOlderAnswerThanAnyNodeGave) {
  EXPECT_EQ(ask(a, "GET", "/work/job-1"), "404 ");
  EXPECT_EQ(ask(a, "POST", "/work", submission("job-1")), "201 pending");
  EXPECT_EQ(ask(b, "GET", "/work/job-1"), "200 pending") << "though no watch has told it";
  EXPECT_EQ(ask(b, "POST", "/work", submission("job-1")), "200 pending");
  EXPECT_EQ(ask(b, "POST", "/work/job-1/cancel"), "200 cancelled");
  EXPECT_EQ(ask(a, "GET", "/work/job-1"), "200 cancelled");
  EXPECT_EQ(ask(a, "POST", "/work", submission("job-1")), "200 cancelled");
  EXPECT_EQ(ask(a, "POST", "/work/job-2/cancel"), "404 ") << "nobody submitted it";
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
  EXPECT_EQ(ask(a, "GET", "/work/job-1"), "503 ") << "it may be cancelled by now";
  EXPECT_EQ(ask(b, "GET", "/work/job-9"), "503 ") << "it may be accepted by now";
  EXPECT_EQ(ask(b, "POST", "/work", submission("job-9")), "503 ");
}

}  // namespace
}  // namespace sumacquay
