#ifndef CAMPHORHOIST_SYSTEM_TESTS_MESH_H_
#define CAMPHORHOIST_SYSTEM_TESTS_MESH_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "system_tests/http.h"
#include "system_tests/process.h"

namespace camphorhoist {

/// A node with the settings that a restart needs.
struct MeshNode {
  std::unique_ptr<Process> process;
  std::string data_centre;
  /// Kept over a restart.
  NetAddress node;

  NetAddress caller() const { return process->Address("caller"); }
  NetAddress operator_address() const { return process->Address("operator"); }
};

/// An upstream with its service and its ledger.
struct MeshUpstream {
  std::unique_ptr<Process> process;
  std::string service;
  std::string ledger_file;

  NetAddress address() const { return process->LastAddress(); }
  /// Start of draining (ms since the Unix epoch, 0 if not) and the runs, from the running process.
  nlohmann::json Ledger() const { return FetchJson(address(), "GET", "/ledger"); }
  /// Number of requests that were started.
  size_t Runs() const { return Ledger().at("total").get<size_t>(); }
  /// Latest start of a run, in ms since the Unix epoch; 0 without runs. Works after the end, too.
  int64_t LastStartMs() const;
};

/// Result of a program that ran to its end.
struct ProgramResult {
  int exit = 0;
  nlohmann::json output;
  std::string text;
};

/// A platform, nodes and upstreams as real processes on loopback, with ports that the system
/// chooses. Ends them all when it is destroyed, upstreams first.
class Mesh {
 public:
  Mesh();
  ~Mesh();
  Mesh(const Mesh&) = delete;
  Mesh& operator=(const Mesh&) = delete;

  /// Starts one node per element, each in that data centre, and waits until all see each other.
  void StartNodes(const std::vector<std::string>& data_centres);
  /// Starts a node again at its old node address, after its process has ended.
  void Restart(size_t index);
  /// Adds an upstream that announces itself to the nodes with these indexes, the first preferred.
  MeshUpstream& StartUpstream(const std::string& service, const std::vector<size_t>& nodes,
                              const std::vector<std::string>& options = {});
  /// Waits until every running node sees `count` serving endpoints of `service`.
  void WaitEndpoints(const std::string& service, size_t count);
  /// Waits until every running node sees `count` live members.
  void WaitJoined(size_t count);

  /// Runs the operator CLI against a node.
  ProgramResult Cli(size_t node, const std::vector<std::string>& arguments);
  /// Starts `apply` of `records` without waiting for it.
  std::unique_ptr<Process> StartApply(size_t node, const nlohmann::json& records,
                                      const std::vector<std::string>& options = {});
  ProgramResult Apply(size_t node, const nlohmann::json& records,
                      const std::vector<std::string>& options = {});
  /// Applies `records`, waits until they are in force on every node and returns the version.
  std::string ApplyEverywhere(size_t node, const nlohmann::json& records);
  static ProgramResult Finish(Process* program);

  nlohmann::json Dump(size_t node) const;
  nlohmann::json Status(size_t node) const;
  std::string Version(size_t node) const;
  /// Waits until the status of `node` lists every running node with `version` and no other.
  void WaitStatus(size_t node, const std::string& version);

  void SetPlatformFaults(const nlohmann::json& rules) const;
  /// Reads that the platform has counted: objects, lists and watches.
  uint64_t PlatformReads() const;

  /// Starts the load tool, which also compares with the ledgers of all upstreams.
  std::unique_ptr<Process> StartLoad(const std::vector<size_t>& targets, const nlohmann::json& mix,
                                     const std::vector<std::string>& options);
  /// Waits for the load tool; fails if a call got a wrong answer or broke a guarantee about runs.
  /// Returns its report.
  nlohmann::json FinishLoad(Process* load);

  Process& platform() { return *platform_; }
  MeshNode& node(size_t index) { return nodes_.at(index); }
  size_t size() const { return nodes_.size(); }
  MeshUpstream& upstream(size_t index) { return *upstreams_.at(index); }
  const std::string& name() const { return name_; }
  /// Starts a further program of the build; the caller owns the process.
  std::unique_ptr<Process> StartProgram(const std::string& name,
                                        const std::vector<std::string>& command);

 private:
  std::unique_ptr<Process> StartNode(size_t index, const NetAddress& listen);

  std::string name_;
  std::string directory_;
  size_t programs_ = 0;
  std::unique_ptr<Process> platform_;
  std::vector<MeshNode> nodes_;
  std::vector<std::unique_ptr<MeshUpstream>> upstreams_;
};

/// Records of a service and of a route with the same name to it, for the paths below /NAME.
nlohmann::json ServiceWithRoute(const std::string& service, int timeout_ms);
nlohmann::json Route(const std::string& name, const std::string& service, int timeout_ms);
/// One request shape of the load tool.
nlohmann::json Shape(const std::string& name, const std::string& method, const std::string& path,
                     int service_ms, double weight);
/// The entry of one shape in a report of the load tool.
nlohmann::json ShapeReport(const nlohmann::json& report, const std::string& name);

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_SYSTEM_TESTS_MESH_H_
