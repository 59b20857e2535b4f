// Benchmarks snapshots, deltas and acceptances at the size that the system is designed for: 240
// services and 3,000 records. Prints a table and then one line of JSON per figure.

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "camphorhoist/acceptance.h"
#include "camphorhoist/config_head.h"
#include "camphorhoist/delta.h"
#include "camphorhoist/snapshot.h"
#include "libconfig/config_fixture.h"
#include "libconfig/fake_store.h"

namespace camphorhoist {
namespace {

constexpr int kServices = 240;
constexpr int kRoutes = 760;
constexpr int kEndpoints = 2000;
constexpr int kRuns = 50;

std::string ServiceText(int n, int timeout_ms) {
  return R"({"schema":1,"kind":"service","name":"service-)" + std::to_string(n) +
         R"(","timeout_ms":)" + std::to_string(timeout_ms) + R"(,"max_queue_ms":500,"hedge":true})";
}

std::string EndpointText(int n, int weight) {
  return R"({"schema":1,"kind":"endpoint","name":"endpoint-)" + std::to_string(n) +
         R"(","service":"service-)" + std::to_string(n % kServices) + R"(","address":"10.)" +
         std::to_string(n / 65536) + "." + std::to_string(n / 256 % 256) + "." +
         std::to_string(n % 256) + R"(:8080","enabled":true,"weight":)" + std::to_string(weight) +
         "}";
}

std::string RouteText(int n) {
  const std::string service = std::to_string(n % kServices);
  const std::string other = std::to_string((n + 1) % kServices);
  return R"({"schema":2,"kind":"route","name":"route-)" + std::to_string(n) +
         R"(","match":{"path_prefix":"/area-)" + std::to_string(n % 40) + "/part-" +
         std::to_string(n) +
         R"(","methods":["GET","HEAD","POST"]},"destinations":[{"service":"service-)" + service +
         R"(","weight":90},{"service":"service-)" + other +
         R"(","weight":10}],"timeout_ms":1500,"idempotent":["GET","HEAD"],"priority":0})";
}

std::string AllRecords() {
  std::string text = "[";
  for (int n = 0; n < kServices; ++n) text += ServiceText(n, 2000) + ",";
  for (int n = 0; n < kEndpoints; ++n) text += EndpointText(n, 100) + ",";
  for (int n = 0; n < kRoutes; ++n) text += RouteText(n) + (n + 1 < kRoutes ? "," : "]");
  return text;
}

/// Prints each figure as text when it is added, and all figures as lines of JSON at the end.
class Report {
 public:
  void Add(const std::string& name, double value, const std::string& unit) {
    std::printf("%-44s %14.1f %s\n", name.c_str(), value, unit.c_str());
    nlohmann::json line;
    line["name"] = name;
    line["value"] = value;
    line["unit"] = unit;
    lines_.push_back(line.dump());
  }
  void PrintLines() const {
    for (const std::string& it : lines_) std::printf("%s\n", it.c_str());
  }

 private:
  std::vector<std::string> lines_;
};

/// Returns the median time of `kRuns` runs in microseconds.
double MedianUs(const std::function<void()>& run) {
  std::vector<double> times;
  for (int n = 0; n < kRuns; ++n) {
    const auto start = std::chrono::steady_clock::now();
    run();
    const auto end = std::chrono::steady_clock::now();
    times.push_back(std::chrono::duration<double, std::micro>(end - start).count());
  }
  std::nth_element(times.begin(), times.begin() + kRuns / 2, times.end());
  return times[kRuns / 2];
}

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

Snapshot::Ptr WithEndpointChanged(const Snapshot& from, int n) {
  Findings findings;
  const uint64_t number = from.version().number() + 1;
  const Record record = ParseRecord(EndpointText(n, n % 100 + 1));
  Snapshot::Ptr next = from.WithChanges({1, number}, {{record, number}}, {}, &findings);
  RequireNoFindings(findings);
  return next;
}

void MeasureBuild(const std::string& text, Report* report) {
  Findings findings;
  const std::vector<Record> records = ParseRecords(text, "bench", &findings);
  RequireNoFindings(findings);
  std::vector<StoredRecord> stored;
  stored.reserve(records.size());
  for (const Record& it : records) stored.push_back({it, 1});
  report->Add("records", static_cast<double>(records.size()), "records");
  report->Add("parse all records", MedianUs([&] { ParseRecords(text, "bench", &findings); }), "us");
  report->Add("validate all records", MedianUs([&] { Validate(records, &findings); }), "us");
  report->Add("build from records", MedianUs([&] {
                Snapshot::Build({1, 1}, stored, &findings);
              }),
              "us");
}

void MeasureDelta(const Snapshot::Ptr& first, Report* report) {
  Findings findings;
  const Snapshot::Ptr second = WithEndpointChanged(*first, 7);
  const Delta delta = MakeDelta(*first, *second);
  const std::string encoded = EncodeDelta(delta);
  report->Add("make a 1-record delta", MedianUs([&] { MakeDelta(*first, *second); }), "us");
  report->Add("decode a 1-record delta",
              MedianUs([&] { DecodeDelta(encoded, "delta", &findings); }), "us");
  report->Add("apply a 1-record delta", MedianUs([&] { ApplyDelta(*first, delta, &findings); }),
              "us");
  const auto service = ParseRecord(ServiceText(7, 1000));
  const Snapshot::Ptr third = first->WithChanges({1, 2}, {{service, 2}}, {}, &findings);
  const Delta service_delta = MakeDelta(*first, *third);
  report->Add("apply a 1-record delta of a service",
              MedianUs([&] { ApplyDelta(*first, service_delta, &findings); }), "us");
  report->Add("size of a 1-record delta", static_cast<double>(encoded.size()), "bytes");
  const std::string whole = EncodeDelta(MakeDelta(*Snapshot::Empty(), *first));
  report->Add("size of a delta of everything", static_cast<double>(whole.size()), "bytes");
  report->Add("decode and apply a delta of everything", MedianUs([&] {
                ApplyDelta(*Snapshot::Empty(), *DecodeDelta(whole, "delta", &findings), &findings);
              }),
              "us");
  RequireNoFindings(findings);
}

void MeasureStoredObjects(const Snapshot::Ptr& snapshot, Report* report) {
  std::vector<RecentChangeSet> recent(kMaxRecentChangeSets);
  for (size_t n = 0; n < recent.size(); ++n) {
    recent[n] = {"operator-0000-0000-0000-" + std::to_string(n + 1), n + 1};
  }
  const std::string head = EncodeHead(MakeHead(*snapshot, recent, "last"));
  report->Add("size of the head with 128 change sets", static_cast<double>(head.size()), "bytes");
  size_t sum = 0;
  size_t largest = 0;
  for (const ConfigPage::Ptr& it : snapshot->pages()) {
    sum += it->encoded_bytes();
    largest = std::max(largest, it->encoded_bytes());
  }
  report->Add("size of a page, mean", static_cast<double>(sum) / kPageCount, "bytes");
  report->Add("size of a page, largest", static_cast<double>(largest), "bytes");
  Findings findings;
  const ConfigPage& page = *snapshot->pages()[0];
  const std::string body = page.Encode();
  report->Add("decode a page", MedianUs([&] { ConfigPage::Decode(0, body, "page", &findings); }),
              "us");
  RequireNoFindings(findings);
}

void MeasureMemory(const std::string& text, Report* report) {
  const double empty = HeapBytes();
  const Snapshot::Ptr first = BuildSnapshot(1, text);
  const double one = HeapBytes();
  report->Add("memory of the first snapshot, heap", one - empty, "bytes");
  report->Add("memory of the first snapshot, estimate",
              static_cast<double>(first->MemoryBytes(nullptr)), "bytes");
  constexpr int kSnapshots = 50;
  std::vector<Snapshot::Ptr> snapshots = {first};
  snapshots.reserve(kSnapshots + 1);
  const double before = HeapBytes();
  for (int n = 0; n < kSnapshots; ++n) {
    snapshots.push_back(WithEndpointChanged(*snapshots.back(), n));
  }
  report->Add("memory per further snapshot, heap", (HeapBytes() - before) / kSnapshots, "bytes");
}

void MeasureRouteMatching(const Snapshot::Ptr& snapshot, Report* report) {
  constexpr int kMatches = 1000;
  size_t found = 0;
  const double us = MedianUs([&] {
    for (int n = 0; n < kMatches; ++n) {
      const std::string path = "/area-" + std::to_string(n % kRoutes % 40) + "/part-" +
                               std::to_string(n % kRoutes) + "/x/y?z=1";
      found += snapshot->MatchRoute("GET", "host", path) ? 1 : 0;
    }
  });
  report->Add("match a route", us * 1000 / kMatches, "ns");
  report->Add("share of matches found", 100.0 * static_cast<double>(found) / kRuns / kMatches, "%");
}

void MeasureAcceptance(const std::string& text, Report* report) {
  FakeStore store;
  Findings findings;
  std::vector<Change> changes;
  Snapshot::Ptr base = Snapshot::Empty();
  int id = 0;
  for (const Record& it : ParseRecords(text, "bench", &findings)) {
    changes.push_back(Change::Upsert(it, 0));
    if (changes.size() < kMaxChanges) continue;
    Acceptance load({"load-" + std::to_string(id++), std::move(changes)}, base, kMaxSchema);
    const AcceptOutcome outcome = RunAcceptance(&store, &load);
    RequireNoFindings(outcome.findings);
    base = load.accepted_snapshot();
    changes.clear();
  }
  const double us = MedianUs([&] {
    const Record record = ParseRecord(EndpointText(id, id % 100 + 1));
    Acceptance one({"one-" + std::to_string(id++), {Change::UnconditionalUpsert(record)}}, base,
                   kMaxSchema);
    RequireNoFindings(RunAcceptance(&store, &one).findings);
    base = one.accepted_snapshot();
  });
  report->Add("accept a 1-record change set, decisions", us, "us");
}

int Main() {
  Report report;
  const std::string text = AllRecords();
  MeasureMemory(text, &report);
  MeasureBuild(text, &report);
  const Snapshot::Ptr snapshot = BuildSnapshot(1000, text);
  MeasureDelta(BuildSnapshot(1, text), &report);
  MeasureStoredObjects(snapshot, &report);
  MeasureRouteMatching(snapshot, &report);
  MeasureAcceptance(text, &report);
  report.PrintLines();
  return 0;
}

}  // namespace
}  // namespace camphorhoist

int main() { return camphorhoist::Main(); }
