#include <iomanip>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

#include "camphorhoist/cli_session.h"
#include "camphorhoist/error.h"
#include "camphorhoist/record_file.h"
#include "liboperator/operator_json.h"

namespace camphorhoist {

namespace {

using Json = nlohmann::json;

RecordsResult FetchRecords(const CliSession& session, const RecordName& selection) {
  const RecordsRequest request{selection.kind, selection.name};
  return session.Await<RecordsResult>([&](std::function<void(RecordsResult)> done) {
    session.client.Records(request, session.arguments.timeout, std::move(done));
  });
}

/// A record that is new in the file or differs from the one in force.
struct Difference {
  RecordName name;
  bool added = false;
  /// JSON patch from the record in force to the one in the file.
  Json patch;
  Json in_force;
};

std::vector<Difference> CompareRecords(const RecordFile& file, const RecordsResult& records) {
  std::map<RecordName, Json> in_force;
  for (const RecordEntry& it : records.records) {
    Json record = Json::parse(it.record);
    const RecordName name = RecordNameOf(record);
    in_force[name] = std::move(record);
  }
  std::vector<Difference> differences;
  for (const Json& it : file.records) {
    const RecordName name = RecordNameOf(it);
    const auto current = in_force.find(name);
    if (current == in_force.end()) {
      differences.push_back({name, true, Json::array(), Json()});
    } else if (current->second != it) {
      differences.push_back({name, false, Json::diff(current->second, it), current->second});
    }
  }
  return differences;
}

void PrintPatchOperation(const Json& operation, const Json& in_force, std::ostream& out) {
  const std::string path = operation["path"].get<std::string>();
  const Json::json_pointer pointer(path);
  const std::string op = operation["op"].get<std::string>();
  out << "    " << path << ": ";
  if (op == "add") {
    out << "adds " << operation["value"].dump();
  } else if (op == "remove") {
    out << "removes " << in_force.value(pointer, Json()).dump();
  } else {
    out << in_force.value(pointer, Json()).dump() << " -> " << operation["value"].dump();
  }
  out << "\n";
}

void PrintDifferences(const std::vector<Difference>& differences, std::ostream& out) {
  for (const Difference& it : differences) {
    out << (it.added ? "added   " : "changed ") << it.name.ToString() << "\n";
    for (const Json& operation : it.patch) PrintPatchOperation(operation, it.in_force, out);
  }
  if (differences.empty()) out << "no differences\n";
}

Json DifferencesToJson(const std::vector<Difference>& differences) {
  Json items = Json::array();
  for (const Difference& it : differences) {
    items.push_back({{"kind", it.name.kind},
                     {"name", it.name.name},
                     {"change", it.added ? "added" : "changed"},
                     {"patch", it.patch}});
  }
  return items;
}

void PrintStatus(const StatusResult& status, std::ostream& out) {
  out << "node " << status.node << " version " << status.version.ToString() << "\n";
  for (const DataCentreStatus& it : status.data_centres) {
    out << "data centre " << it.name << ": " << it.nodes << " nodes,";
    for (const auto& entry : it.versions) {
      out << " " << entry.second << " at " << entry.first.ToString();
    }
    out << "\n";
  }
  for (const MemberStatus& it : status.members) {
    out << std::left << std::setw(22) << it.address << std::setw(12) << it.data_centre
        << std::setw(10) << it.version.ToString() << std::setw(10) << it.state << "age "
        << it.age_ms << " ms";
    if (!it.reason.empty()) out << "  " << it.reason;
    out << "\n";
  }
}

}  // namespace

CliExit RunGet(const CliSession& session) {
  const RecordName& selection = session.arguments.selection;
  const RecordsResult records = FetchRecords(session, selection);
  if (records.error) return ReportError(session, records.error);
  std::ostream& out = session.context.out;
  if (session.arguments.json) {
    out << EncodeRecords(records);
  } else {
    out << "version " << records.version.ToString() << "\n";
    for (const RecordEntry& it : records.records) out << it.version << "  " << it.record << "\n";
  }
  if (selection.name.empty() || !records.records.empty()) return CliExit::kOk;
  session.context.err << selection.ToString() << ": not found\n";
  return CliExit::kFindings;
}

CliExit RunDiff(const CliSession& session) {
  Findings findings;
  const RecordFile file = ParseRecordFile(session.arguments.file, session.file_text, &findings);
  for (size_t i = 0; i < file.records.size(); ++i) {
    if (!RecordNameOf(file.records[i]).name.empty()) continue;
    findings.Add(session.arguments.file + "[" + std::to_string(i) + "]",
                 "must have \"kind\" and \"name\"");
  }
  if (!findings.empty()) {
    session.context.err << findings.ToString() << "\n";
    return CliExit::kFindings;
  }
  const RecordsResult records = FetchRecords(session, RecordName());
  if (records.error) return ReportError(session, records.error);
  const std::vector<Difference> differences = CompareRecords(file, records);
  if (session.arguments.json) {
    const Json json = {{"version", records.version.ToString()},
                       {"differences", DifferencesToJson(differences)}};
    session.context.out << json.dump() << "\n";
  } else {
    PrintDifferences(differences, session.context.out);
  }
  return differences.empty() ? CliExit::kOk : CliExit::kFindings;
}

CliExit RunStatus(const CliSession& session) {
  const auto status = session.Await<StatusResult>([&](std::function<void(StatusResult)> done) {
    session.client.Status(session.arguments.timeout, std::move(done));
  });
  if (status.error) return ReportError(session, status.error);
  if (session.arguments.json) {
    session.context.out << EncodeStatus(status);
  } else {
    PrintStatus(status, session.context.out);
  }
  return CliExit::kOk;
}

CliExit RunDump(const CliSession& session) {
  const auto dump = session.Await<DumpResult>([&](std::function<void(DumpResult)> done) {
    session.client.Dump(session.arguments.timeout, std::move(done));
  });
  if (dump.error) return ReportError(session, dump.error);
  const Json json = Json::parse(dump.dump, nullptr, false);
  if (json.is_discarded()) return ReportError(session, Errc::kUnavailable);
  // The dump is JSON in both formats; human output is indented by two spaces for readability.
  session.context.out << json.dump(session.arguments.json ? -1 : 2) << "\n";
  return CliExit::kOk;
}

CliExit RunDrain(const CliSession& session) {
  const auto drain = session.Await<DrainResult>([&](std::function<void(DrainResult)> done) {
    session.client.Drain(session.arguments.timeout, std::move(done));
  });
  if (drain.error) return ReportError(session, drain.error);
  if (session.arguments.json) {
    session.context.out << EncodeDrain(drain);
  } else {
    session.context.out << (drain.draining ? "draining, " : "not draining, ") << drain.in_flight
                        << " calls in flight\n";
  }
  return drain.draining ? CliExit::kOk : CliExit::kFindings;
}

}  // namespace camphorhoist
