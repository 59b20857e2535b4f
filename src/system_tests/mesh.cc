#include "system_tests/mesh.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>

namespace camphorhoist {

namespace {

using nlohmann::json;

const char kBinPrefix[] = CAMPHORHOIST_BIN_DIR "/";
const char kLoopback[] = "127.0.0.1";
/// Time that the load tool waits before it reads the ledgers: a late request can still start for
/// this long after the last response.
constexpr int kSettleMs = 1500;
constexpr int kConvergenceTimeoutSeconds = 15;

std::string MakeTempDirectory() {
  std::string name = (std::filesystem::temp_directory_path() / "camphorhoist-system-XXXXXX");
  CPPUNIT_ASSERT_MESSAGE("mkdtemp failed", mkdtemp(name.data()) != nullptr);
  return name;
}

std::string JoinWithCommas(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& it : parts) text += (text.empty() ? "" : ",") + it;
  return text;
}

}  // namespace

int64_t MeshUpstream::LastStartMs() const {
  std::ifstream in(ledger_file);
  CPPUNIT_ASSERT_MESSAGE("no ledger " + ledger_file, in.good());
  int64_t last = 0;
  for (std::string line; std::getline(in, line);) {
    last = std::max(last, json::parse(line).at("start_ms").get<int64_t>());
  }
  return last;
}

Mesh::Mesh() : name_("system-test-" + std::to_string(getpid())), directory_(MakeTempDirectory()) {
  platform_ = StartProgram("standin_platform", {"--listen=127.0.0.1:0"});
  platform_->WaitReady();
}

Mesh::~Mesh() {
  upstreams_.clear();
  nodes_.clear();
  platform_.reset();
  std::error_code ec;
  std::filesystem::remove_all(directory_, ec);
}

std::unique_ptr<Process> Mesh::StartProgram(const std::string& name,
                                            const std::vector<std::string>& command) {
  std::vector<std::string> full_command = {kBinPrefix + name};
  full_command.insert(full_command.end(), command.begin(), command.end());
  const std::string process_name = name + "-" + std::to_string(++programs_started_);
  return std::make_unique<Process>(process_name, full_command, directory_);
}

std::unique_ptr<Process> Mesh::StartNode(size_t index, const NetAddress& listen) {
  std::vector<std::string> seeds;
  for (const MeshNode& it : nodes_) {
    if (!it.node_address.empty() && &it != &nodes_[index]) {
      seeds.push_back(it.node_address.ToString());
    }
  }
  std::vector<std::string> command = {"--mesh=" + name_,
                                      "--data-centre=" + nodes_[index].data_centre,
                                      "--region=r1",
                                      "--caller-listen=127.0.0.1:0",
                                      "--node-listen=" + listen.ToString(),
                                      "--platform=" + platform_->LastAddress().ToString()};
  if (!seeds.empty()) command.push_back("--seeds=" + JoinWithCommas(seeds));
  return StartProgram("camphorhoistd", command);
}

void Mesh::StartNodes(const std::vector<std::string>& data_centres) {
  for (const std::string& it : data_centres) {
    nodes_.emplace_back();
    nodes_.back().data_centre = it;
    nodes_.back().process = StartNode(nodes_.size() - 1, NetAddress(kLoopback, 0));
    nodes_.back().process->WaitReady();
    nodes_.back().node_address = nodes_.back().process->Address("node");
  }
  WaitLiveMembers(nodes_.size());
}

void Mesh::RestartNode(size_t index) {
  MeshNode& node = nodes_.at(index);
  CPPUNIT_ASSERT_MESSAGE("the node still runs", !node.process->Running());
  node.process = StartNode(index, node.node_address);
  node.process->WaitReady();
}

MeshUpstream& Mesh::StartUpstream(const std::string& service, const std::vector<size_t>& nodes,
                                  const std::vector<std::string>& options) {
  std::vector<std::string> addresses;
  addresses.reserve(nodes.size());
  for (size_t it : nodes) addresses.push_back(node(it).process->Address("upstream").ToString());
  auto upstream = std::make_unique<MeshUpstream>();
  upstream->service = service;
  upstream->ledger_file = directory_ + "/ledger-" + std::to_string(upstreams_.size()) + ".jsonl";
  std::vector<std::string> command = {"--listen=127.0.0.1:0", "--service=" + service,
                                      "--node=" + JoinWithCommas(addresses),
                                      "--ledger=" + upstream->ledger_file};
  command.insert(command.end(), options.begin(), options.end());
  upstream->process = StartProgram("standin_upstream", command);
  upstream->process->WaitReady();
  upstreams_.push_back(std::move(upstream));
  return *upstreams_.back();
}

void Mesh::WaitEndpoints(const std::string& service, size_t count) {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (!nodes_[i].process->Running()) continue;
    WaitFor("node " + std::to_string(i) + " sees the endpoints of " + service, [&] {
      const json endpoints = Dump(i).at("endpoints");
      return endpoints.contains(service) && endpoints.at(service).size() == count;
    });
  }
}

void Mesh::WaitLiveMembers(size_t count) {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (!nodes_[i].process->Running()) continue;
    WaitFor("node " + std::to_string(i) + " sees " + std::to_string(count) + " members",
            [&] { return Dump(i).at("members").at("live") == count; });
  }
}

ProgramResult Mesh::WaitResult(Process* program) {
  ProgramResult result;
  result.exit_code = program->Wait();
  result.combined_output = program->Output() + program->LogTail();
  result.json_output = json::parse(program->Output(), nullptr, /*allow_exceptions=*/false);
  return result;
}

ProgramResult Mesh::RunCli(size_t node, const std::vector<std::string>& arguments) {
  std::vector<std::string> command = arguments;
  command.push_back("--node=" + this->node(node).operator_address().ToString());
  command.emplace_back("--output=json");
  const auto program = StartProgram("camphorhoist", command);
  return WaitResult(program.get());
}

std::unique_ptr<Process> Mesh::StartApply(size_t node, const json& records,
                                          const std::vector<std::string>& options) {
  const std::string file =
      directory_ + "/records-" + std::to_string(programs_started_ + 1) + ".json";
  std::ofstream(file) << (records.is_string() ? records.get<std::string>() : records.dump());
  std::vector<std::string> command = {"apply", "-f", file, "--output=json",
                                      "--node=" + this->node(node).operator_address().ToString()};
  command.insert(command.end(), options.begin(), options.end());
  return StartProgram("camphorhoist", command);
}

ProgramResult Mesh::Apply(size_t node, const json& records,
                          const std::vector<std::string>& options) {
  const auto program = StartApply(node, records, options);
  return WaitResult(program.get());
}

std::string Mesh::ApplyEverywhere(size_t node, const json& records) {
  const ProgramResult result =
      Apply(node, records, {"--wait-seconds=" + std::to_string(kConvergenceTimeoutSeconds)});
  CPPUNIT_ASSERT_EQUAL_MESSAGE(result.combined_output, 0, result.exit_code);
  return result.json_output.at("version").get<std::string>();
}

json Mesh::Dump(size_t node) const {
  return FetchJson(nodes_.at(node).operator_address(), "GET", "/v1/dump");
}

json Mesh::Status(size_t node) const {
  return FetchJson(nodes_.at(node).operator_address(), "GET", "/v1/status");
}

std::string Mesh::Version(size_t node) const {
  return Status(node).at("version").get<std::string>();
}

void Mesh::WaitVersionInStatus(size_t node, const std::string& version) {
  WaitFor("the status of node " + std::to_string(node) + " lists " + version + " everywhere", [&] {
    const json status = Status(node);
    std::vector<std::string> missing;
    for (const MeshNode& it : nodes_) {
      if (it.process->Running()) missing.push_back(it.node_address.ToString());
    }
    for (const json& it : status.at("members")) {
      if (it.at("state") == "dead" || it.at("state") == "left") continue;
      if (it.at("version") != version) return false;
      const auto found = std::find(missing.begin(), missing.end(), it.at("address"));
      if (found != missing.end()) missing.erase(found);
    }
    return status.at("version") == version && missing.empty();
  });
}

void Mesh::SetPlatformFaults(const json& rules) const {
  FetchJson(platform_->LastAddress(), "POST", "/faults", rules.dump());
}

uint64_t Mesh::PlatformReads() const {
  const json calls = FetchJson(platform_->LastAddress(), "GET", "/meter").at("calls");
  return calls.at("get").get<uint64_t>() + calls.at("list").get<uint64_t>() +
         calls.at("watch").get<uint64_t>();
}

std::unique_ptr<Process> Mesh::StartLoad(const std::vector<size_t>& targets, const json& mix,
                                         const std::vector<std::string>& options) {
  std::vector<std::string> caller_addresses;
  caller_addresses.reserve(targets.size());
  for (size_t it : targets) caller_addresses.push_back(node(it).caller_address().ToString());
  // Ledger files, not the upstreams' HTTP ports: a file has whole lines only and can also be read
  // after the upstream has ended.
  std::vector<std::string> ledger_sources;
  ledger_sources.reserve(upstreams_.size());
  for (const auto& it : upstreams_) ledger_sources.push_back("file:" + it->ledger_file);
  std::vector<std::string> command = {
      "--target=" + JoinWithCommas(caller_addresses), "--mix=" + mix.dump(),
      "--check-ledger=" + JoinWithCommas(ledger_sources), "--json=" + directory_ + "/load.json",
      "--settle-ms=" + std::to_string(kSettleMs)};
  command.insert(command.end(), options.begin(), options.end());
  return StartProgram("camphorhoist_load", command);
}

json Mesh::FinishLoad(Process* load) {
  const ProgramResult result = WaitResult(load);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(result.combined_output, 0, result.exit_code);
  std::ifstream in(directory_ + "/load.json");
  json report = json::parse(in);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(result.combined_output, json::array(), report.at("violations"));
  CPPUNIT_ASSERT_EQUAL_MESSAGE(result.combined_output, json::array(), report.at("wrong_answers"));
  return report;
}

json Route(const std::string& name, const std::string& service, int timeout_ms) {
  return {{"schema", 2},
          {"kind", "route"},
          {"name", name},
          {"match", {{"path_prefix", "/" + name}}},
          {"destinations", {{{"service", service}, {"weight", 1}}}},
          {"timeout_ms", timeout_ms}};
}

json ServiceWithRoute(const std::string& service, int timeout_ms) {
  return json::array(
      {{{"schema", 1}, {"kind", "service"}, {"name", service}, {"timeout_ms", timeout_ms}},
       Route(service, service, timeout_ms)});
}

json Shape(const std::string& name, const std::string& method, const std::string& path,
           int service_ms, double weight) {
  return {
      {"name", name}, {"method", method}, {"path", path}, {"ms", service_ms}, {"weight", weight}};
}

json ShapeReport(const json& report, const std::string& name) {
  for (const json& it : report.at("shapes")) {
    if (it.at("name") == name) return it;
  }
  CPPUNIT_FAIL("no shape " + name);
  return {};
}

}  // namespace camphorhoist
