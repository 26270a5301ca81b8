#pragma once
#include <asio.hpp>
#include <chrono>
#include <fstream>
#include <functional>
#include <future>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "config/settings.h"
#include "jobs/spec.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "simulators/key_value_store.h"
#include "simulators/messages.h"

/// Stand-ins for the key-value store, the cloud, the workers and the users of a small deployment,
/// on loopback and the real clock, with controllers as processes of their own. They follow
/// PROTOCOL-sumacquay.md. Everything on the platform's side runs on one thread (`io`); a scenario
/// runs on the main thread and calls the functions that are marked "main thread".
namespace review {

using sumacquay::Command;
using sumacquay::Endpoint;
using sumacquay::ExitCause;
using sumacquay::HttpClient;
using sumacquay::HttpReply;
using sumacquay::HttpRequest;
using sumacquay::HttpResult;
using sumacquay::HttpServer;
using sumacquay::JobKind;
using sumacquay::JobSpec;
using sumacquay::MachineType;
using sumacquay::Priority;
using sumacquay::Resources;
using sumacquay::Respond;
using sumacquay::TaskKey;
using sumacquay::TaskState;

/// Seconds of the steady clock since the start of this process.
double now();

/// Settings of the deployment; the defaults are those of the example in DEPLOY-sumacquay.md.
struct Options {
  int controllers = 3;
  std::vector<std::string> zones{"a", "b", "c"};
  double report_s = 1, lease_s = 10, gang_wait_s = 30, gang_peer_s = 5, cancel_s = 40;
  double state_rps = 250, state_write_rps = 30, value_kb = 8;
  int txn_ops = 24;
  double cloud_rps = 6, list_lag_s = 8;
  int fd_limit = 600;
  double state_latency_s = 0.005, cloud_latency_s = 0.1;
  std::vector<sumacquay::TeamSettings> teams;
  std::vector<MachineType> types;
};

class Platform;

/// The workers' part of a job: what the user uploaded, and what happened to it.
struct Job {
  JobSpec spec;
  double run_s = 1;         ///< run time of a task
  std::set<uint32_t> done;  ///< tasks that are complete
  int starts = 0;           ///< starts that a worker carried out
  double first_running_at = -1;
  double last_running_at = -1;
};

/// One attempt of a task on a worker.
struct Attempt {
  TaskState state = TaskState::Fetching;
  ExitCause cause = ExitCause::None;
  double due_at = 0;  ///< next change without a command
  bool active() const { return state != TaskState::Exited; }
};

using AttemptKey = std::pair<TaskKey, uint64_t>;

/// A machine with its worker.
class Worker {
 public:
  Worker(Platform& platform, std::string id, MachineType type, std::string zone, bool spot);
  ~Worker();

  std::string id, zone;
  MachineType type;
  bool spot;
  Endpoint addr;
  bool sick = false;         ///< fails every task that it starts
  bool deaf = false;         ///< reports arrive; answers and direct commands are lost
  bool mute = false;         ///< reaches no controller; direct commands arrive
  double hangs_until = 0;    ///< does nothing until then, and goes on afterwards
  double late_commands = 0;  ///< share of direct commands that are carried out 2 to 16 s late
  double late_reports = 0;   ///< share of reports of which a copy arrives again later
  std::map<AttemptKey, Attempt> attempts;
  std::map<std::string, double> images;  ///< cached images: last use

  void tick();
  void set_running(const AttemptKey& key, Attempt& attempt);
  void set_exited(const AttemptKey& key, Attempt& attempt, ExitCause cause);
  void changed();
  uint64_t shift() const { return shift_; }
  /// Whether a report has shown the leader the token that the worker has seen.
  bool token_reported() const { return token_reported_; }
  /// The controller to which it reports.
  size_t controller() const { return controller_; }
  /// The direct commands that it carried out.
  struct CarriedOut {
    double at;
    HttpRequest request;
    std::vector<Command> commands;
  };
  std::vector<CarriedOut> carried_out;

 private:
  std::string report();
  void send_report();
  void on_answer(const HttpResult& result, double sent_at, uint64_t shift);
  void next_controller();
  void on_request(const HttpRequest& request, const Respond& respond);
  void handle_request(const HttpRequest& request, const Respond& respond);
  void execute(const std::vector<Command>& commands);
  void start(const Command& command);
  void fetch_images();

  Platform& platform_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<HttpClient> client_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::map<std::string, double> fetches_;  ///< image: when it will be there
  size_t controller_ = 0;
  uint64_t shift_ = 1, tally_ = 0, token_ = 0;
  double session_began_, last_answered_sent_ = -1;
  double next_report_, last_report_ = -1;
  bool in_flight_ = false;
  bool token_reported_ = false;
  std::vector<std::pair<HttpRequest, Respond>> held_;  ///< requests that came while it hung
};

/// How the key-value store treats one controller.
enum class StoreMode { Serve, Refuse, Silent };

class Platform {
 public:
  Platform(Options options, const std::string& record_path);
  ~Platform();

  // ---- main thread

  /// Writes a line with the time to the record. Any thread.
  void record(const std::string& line);
  /// Runs a function on the platform's thread and waits for it.
  template <class F>
  auto on_platform(F f) {
    std::packaged_task<decltype(f())()> task(std::move(f));
    auto result = task.get_future();
    asio::post(io, [&task] { task(); });
    return result.get();
  }
  void start_controller(size_t i);
  void signal_controller(size_t i, int signal);
  void kill_controller(size_t i);
  bool controller_ended(size_t i);
  /// Waits until `GET /ready` of all controllers answers 200.
  bool wait_ready(double timeout_s);
  HttpResult call(size_t controller, const std::string& method, const std::string& path,
                  const std::string& body, double timeout_s);
  /// Submits a job through a controller, with the users' retries at the next ones; false if it was
  /// not accepted within 30 s.
  bool submit(const JobSpec& spec, double run_s, size_t controller = 0);
  /// A job's state as told by a controller, or "status N" / "no answer".
  std::string stage(const std::string& id, size_t controller = 0);
  std::string cancel(const std::string& id, size_t controller = 0);
  /// Adds a machine that is up now.
  std::string add_machine(const std::string& type, const std::string& zone, bool spot = false);
  /// Sends a machine's worker a request again that it has carried out.
  void repeat_request(const std::string& machine, const HttpRequest& request);
  /// Removes a machine with all that is on it.
  void take_machine(const std::string& id);
  /// Waits until the condition, evaluated on the platform's thread, holds.
  bool wait_for(double timeout_s, const std::function<bool()>& condition);
  static void sleep(double seconds);

  // ---- platform's thread

  Job* find_job(const std::string& id);
  Worker* find_worker(const std::string& id);
  bool running_everywhere(const std::string& job);
  Resources used(const Worker& worker);
  void repeat_later(size_t controller, const std::string& body);
  void gang_changed(const std::string& job, uint64_t attempt);

  asio::io_context io;
  Options options;
  std::map<std::string, Job> jobs;
  std::map<std::string, std::unique_ptr<Worker>> workers;
  /// Machines of a type and zone that the cloud can still give.
  std::map<std::pair<std::string, std::string>, int> capacity;
  std::vector<StoreMode> store_mode;
  double late_writes = 0;   ///< share of transactions without an answer, carried out 2 to 12 s late
  double lost_answers = 0;  ///< share of transactions that are carried out and not answered
  /// Rules that were seen broken.
  std::vector<std::string> violations;
  void violation(const std::string& text);
  /// Checks the rules for a task that has just got its image.
  void check_start(const Worker& worker, const TaskKey& key);
  /// When a user was told that the job is cancelled.
  std::map<std::string, double> cancelled_at;
  void check_cancelled();
  std::vector<Endpoint> controllers, peers;
  std::vector<std::string> names;
  std::mt19937 random{20261204};
  double random_between(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random);
  }
  using Store = sumacquay::simulators::KeyValueStore<std::string>;
  Store store;

 private:
  struct Watch {
    size_t controller;
    std::string under;
    uint64_t after;
    double ends_at;
    Respond respond;
  };
  struct Booting {
    std::string id, type, zone;
    bool spot;
    double hired_at, up_at;
  };
  void on_store(size_t controller, const HttpRequest& request, const Respond& respond);
  HttpReply store_reply(const HttpRequest& request);
  HttpReply changes_reply(const Watch& watch);
  void answer_watches();
  void on_cloud(const HttpRequest& request, const Respond& respond);
  HttpReply cloud_reply(const HttpRequest& request);
  void respond_later(double delay_s, const Respond& respond, HttpReply reply);
  void tick();
  std::string add_worker(const std::string& id, const std::string& type, const std::string& zone,
                         bool spot);
  std::string settings_of(size_t i) const;

  std::ofstream record_;
  std::mutex record_mutex_;
  std::vector<std::unique_ptr<HttpServer>> store_servers_;
  std::unique_ptr<HttpServer> cloud_server_;
  std::vector<unsigned short> store_ports_;
  std::list<Watch> watches_;
  std::map<std::string, std::string> hires_;  ///< request name: answer
  std::vector<Booting> booting_;
  std::map<std::string, double> created_at_;
  int next_machine_ = 1;
  asio::steady_timer timer_;
  std::vector<pid_t> pids_;
  std::string directory_;
  std::unique_ptr<asio::executor_work_guard<asio::io_context::executor_type>> work_;
  std::thread thread_;
};

JobSpec array_job(const std::string& id, const std::string& team, uint32_t tasks, Resources each);

/// Whether the scenario's disruption is wanted (the environment variable TROUBLE is not 0).
bool trouble();
/// Exit codes of a case.
enum Verdict { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

}  // namespace review
