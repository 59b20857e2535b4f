// Shared main() of the CppUnit test programs. Arguments are names of tests (`Suite::Test`) or
// suites, and only those run; `--list` prints the names of all tests and runs none. `--shard I/N`
// runs each N-th test from the I-th on, counted from 0, so that a long program runs in several
// processes at the same time. Suites in the registry "unmet targets" run only if they are named.

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <charconv>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "libbase/log.h"

namespace {

/// Returns the last `component_count` components of a namespace-qualified name.
std::string ShortName(const std::string& name, int component_count) {
  size_t pos = name.size();
  for (int i = 0; i < component_count && pos != std::string::npos && pos > 0; ++i) {
    pos = name.rfind("::", pos - 1);
  }
  return pos == std::string::npos ? name : name.substr(pos + 2);
}

void PrintNames(const CppUnit::Test& test) {
  if (test.getChildTestCount() == 0) std::cout << ShortName(test.getName(), 2) << '\n';
  for (int i = 0; i < test.getChildTestCount(); ++i) PrintNames(*test.getChildTestAt(i));
}

/// Appends the test cases of `test` to `cases`.
void AppendCases(CppUnit::Test* test, std::vector<CppUnit::Test*>* cases) {
  if (test->getChildTestCount() == 0) cases->push_back(test);
  for (int i = 0; i < test->getChildTestCount(); ++i) AppendCases(test->getChildTestAt(i), cases);
}

/// Runs the shard that `text` ("I/N") names. Returns false if it is malformed.
bool RunShard(const std::string& text, CppUnit::Test* all, CppUnit::TestResult* controller) {
  size_t first = 0;
  size_t count = 0;
  const char* const end = text.data() + text.size();
  const auto slash = std::from_chars(text.data(), end, first);
  if (slash.ec != std::errc() || slash.ptr == end || *slash.ptr != '/') return false;
  const auto rest = std::from_chars(slash.ptr + 1, end, count);
  if (rest.ec != std::errc() || rest.ptr != end || first >= count) return false;
  std::vector<CppUnit::Test*> cases;
  AppendCases(all, &cases);
  for (size_t i = first; i < cases.size(); i += count) controller->runTest(cases[i]);
  return true;
}

/// Returns the test or suite with this qualified or short name, or null.
CppUnit::Test* FindTest(CppUnit::Test* test, const std::string& name) {
  const int component_count = test->getChildTestCount() == 0 ? 2 : 1;
  if (test->getName() == name || ShortName(test->getName(), component_count) == name) return test;
  for (int i = 0; i < test->getChildTestCount(); ++i) {
    if (CppUnit::Test* found = FindTest(test->getChildTestAt(i), name)) return found;
  }
  return nullptr;
}

}  // namespace

int main(int argc, char** argv) {
  const std::unique_ptr<CppUnit::Test> all(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  const std::unique_ptr<CppUnit::Test> unmet(
      CppUnit::TestFactoryRegistry::getRegistry("unmet targets").makeTest());
  if (argc == 2 && std::string(argv[1]) == "--list") {
    PrintNames(*all);
    return 0;
  }
  camphorhoist::Findings findings;
  camphorhoist::ConfigureLogging("error", "test", "log level", &findings);
  CppUnit::TestResult controller;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  controller.addListener(&collector);
  controller.addListener(&progress);

  const bool sharded = argc == 3 && std::string(argv[1]) == "--shard";
  if (sharded && !RunShard(argv[2], all.get(), &controller)) {
    std::cerr << "malformed shard " << argv[2] << '\n';
    return 1;
  }
  if (argc == 1) controller.runTest(all.get());
  for (int i = 1; i < argc && !sharded; ++i) {
    CppUnit::Test* test = FindTest(all.get(), argv[i]);
    if (test == nullptr) test = FindTest(unmet.get(), argv[i]);
    if (test == nullptr) {
      std::cerr << "no test or suite named " << argv[i] << '\n';
      return 1;
    }
    controller.runTest(test);
  }

  CppUnit::CompilerOutputter outputter(&collector, std::cerr);
  outputter.write();
  // A run without any test counts as a failure.
  return collector.wasSuccessful() && collector.runTests() > 0 ? 0 : 1;
}
