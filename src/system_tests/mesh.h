#ifndef CAMPHORHOIST_SYSTEM_TESTS_MESH_H_
#define CAMPHORHOIST_SYSTEM_TESTS_MESH_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "system_tests/http.h"
#include "system_tests/process.h"

namespace camphorhoist {

/// A node process and the settings that a restart reuses.
struct MeshNode {
  std::unique_ptr<Process> process;
  std::string data_centre;
  /// Address for other nodes; a restart listens on it again.
  NetAddress node_address;

  NetAddress caller_address() const { return process->Address("caller"); }
  NetAddress operator_address() const { return process->Address("operator"); }
};

/// A stand-in upstream process, its service and its ledger file.
struct MeshUpstream {
  std::unique_ptr<Process> process;
  std::string service;
  std::string ledger_file;

  NetAddress address() const { return process->LastAddress(); }
  /// Fetches the ledger from the running process: the time at which draining started (ms since the
  /// Unix epoch, 0 if it has not) and the requests that were run.
  nlohmann::json FetchLedger() const { return FetchJson(address(), "GET", "/ledger"); }
  /// Number of requests that this upstream started to run.
  size_t RunCount() const { return FetchLedger().at("total").get<size_t>(); }
  /// Latest start of a run, in ms since the Unix epoch; 0 without runs. Reads the ledger file, so
  /// it also works after the process has ended.
  int64_t LastStartMs() const;
};

/// Result of a program that has exited.
struct ProgramResult {
  int exit_code = 0;
  /// Standard output parsed as JSON; a discarded value if it is not JSON.
  nlohmann::json json_output;
  /// Standard output and the end of standard error, for failure messages.
  std::string combined_output;
};

/// A stand-in platform, nodes and upstreams as real processes on loopback, on ports assigned by the
/// operating system. The destructor ends them all, upstreams first.
class Mesh {
 public:
  Mesh();
  ~Mesh();
  Mesh(const Mesh&) = delete;
  Mesh& operator=(const Mesh&) = delete;

  /// Starts one node per element of `data_centres` and waits until each sees all of them as live
  /// members.
  void StartNodes(const std::vector<std::string>& data_centres);
  /// Starts a node whose process has ended again on its previous node address.
  void RestartNode(size_t index);
  /// Starts an upstream that announces itself to the nodes with these indexes; it prefers the
  /// first.
  MeshUpstream& StartUpstream(const std::string& service, const std::vector<size_t>& nodes,
                              const std::vector<std::string>& options = {});
  /// Waits until every running node lists `count` serving endpoints of `service`.
  void WaitEndpoints(const std::string& service, size_t count);
  /// Waits until every running node sees `count` live members.
  void WaitLiveMembers(size_t count);

  /// Runs the operator CLI against a node and waits for its result.
  ProgramResult RunCli(size_t node, const std::vector<std::string>& arguments);
  /// Starts the CLI command `apply` with `records` and does not wait for it.
  std::unique_ptr<Process> StartApply(size_t node, const nlohmann::json& records,
                                      const std::vector<std::string>& options = {});
  ProgramResult Apply(size_t node, const nlohmann::json& records,
                      const std::vector<std::string>& options = {});
  /// Applies `records`, waits until they are in force on every node and returns the version.
  std::string ApplyEverywhere(size_t node, const nlohmann::json& records);
  /// Waits until `program` exits and collects its output.
  static ProgramResult WaitResult(Process* program);

  nlohmann::json Dump(size_t node) const;
  nlohmann::json Status(size_t node) const;
  std::string Version(size_t node) const;
  /// Waits until the status of `node` has `version` as its own, lists every running node, and gives
  /// `version` for every member that is neither dead nor left.
  void WaitVersionInStatus(size_t node, const std::string& version);

  void SetPlatformFaults(const nlohmann::json& rules) const;
  /// Number of reads that the platform has counted: object reads, lists and watches.
  uint64_t PlatformReads() const;

  /// Starts the load tool, which also compares its results with the ledgers of all upstreams.
  std::unique_ptr<Process> StartLoad(const std::vector<size_t>& targets, const nlohmann::json& mix,
                                     const std::vector<std::string>& options);
  /// Waits for the load tool and returns its report. Fails the test if a call got a wrong response
  /// or the ledgers show a violation of the guarantees about how often a request runs.
  nlohmann::json FinishLoad(Process* load);

  Process& platform() { return *platform_; }
  MeshNode& node(size_t index) { return nodes_.at(index); }
  size_t size() const { return nodes_.size(); }
  MeshUpstream& upstream(size_t index) { return *upstreams_.at(index); }
  const std::string& name() const { return name_; }
  /// Starts any program of the build.
  std::unique_ptr<Process> StartProgram(const std::string& name,
                                        const std::vector<std::string>& command);

 private:
  std::unique_ptr<Process> StartNode(size_t index, const NetAddress& listen);

  std::string name_;
  /// Temporary directory for logs, outputs and ledgers.
  std::string directory_;
  size_t programs_started_ = 0;
  std::unique_ptr<Process> platform_;
  std::vector<MeshNode> nodes_;
  std::vector<std::unique_ptr<MeshUpstream>> upstreams_;
};

/// Records of a service and of a route to it with the same name, for the path prefix /NAME.
nlohmann::json ServiceWithRoute(const std::string& service, int timeout_ms);
/// Record of a route for the path prefix /NAME.
nlohmann::json Route(const std::string& name, const std::string& service, int timeout_ms);
/// One request shape in the request mix of the load tool.
nlohmann::json Shape(const std::string& name, const std::string& method, const std::string& path,
                     int service_ms, double weight);
/// The entry of one shape in a report of the load tool.
nlohmann::json ShapeReport(const nlohmann::json& report, const std::string& name);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_SYSTEM_TESTS_MESH_H_
