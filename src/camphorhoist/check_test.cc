#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "camphorhoist/cli.h"
#include "libbase/event_ptr.h"
#include "libsidecar/testing/fake_store.h"
#include "platform/object_client.h"

namespace camphorhoist {
namespace {

using Json = nlohmann::json;

/// A consistent configuration. All keys contain "secret".
Json Spec() {
  return Json::parse(R"({
    "version": "r12",
    "routes": {"columns": ["name", "hostname", "pathPrefix", "kind", "timeoutS", "sloS", "priority",
                           "attempts", "service"],
               "rows": [["r1", "h.example", "/a/", "safe", 1.2, 0.3, 2, 2, "s1"],
                        ["r2", "h.example", "/b/", "unsafe", 0.8, 0.4, 1, 2, "s2"]]},
    "services": {"columns": ["name", "healthPath", "maxConns"],
                 "rows": [["s1", "/healthz", 110], ["s2", "/healthz", 110]]},
    "tenants": {"columns": ["name", "apiKeys", "priority", "ratePerS", "burst"],
                "rows": [["org-a", ["secret-1", "secret-2"], 3, 12.5, 13],
                         ["org-b", ["secret-3"], null, null, null]]},
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3,
               "idleTimeoutS": 15}
  })");
}

/// Sets a value of a row; `column` as in `Spec`.
Json With(Json spec, const char* table, size_t row, size_t column, const Json& value) {
  spec[table]["rows"][row][column] = value;
  return spec;
}

/// A spec with one warning.
Json WithShortTimeout() { return With(Spec(), "routes", 1, 4, 0.3); }
/// A spec with one error: the organisations have a key in common.
Json WithSharedKey() { return With(Spec(), "tenants", 1, 1, {"secret-2"}); }

/// Temporary file that is removed at the end.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text) {
    const int fd = mkstemp(path_);
    CPPUNIT_ASSERT(fd >= 0);
    close(fd);
    std::ofstream(path_) << text;
  }
  ~TemporaryFile() { std::remove(path_); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  std::string path() const { return path_; }

 private:
  char path_[32] = "/tmp/check_test.XXXXXX";
};

/// Runs `check` without the address of a node.
struct Checker {
  int Run(std::vector<std::string> args, const std::string& input) {
    args.insert(args.begin(), "check");
    std::istringstream in(input);
    std::ostringstream out_stream;
    std::ostringstream err_stream;
    const CliContext context{base.get(), in, out_stream, err_stream, ""};
    const CliExit code = RunCli(args, context);
    out = out_stream.str();
    err = err_stream.str();
    return static_cast<int>(code);
  }
  int Run(const std::vector<std::string>& args, const Json& document) {
    return Run(args, document.dump());
  }

  EventBasePtr base{event_base_new()};
  std::string out;
  std::string err;
};

class CheckTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CheckTest);
  CPPUNIT_TEST(FindingsDetermineTheExitStatus);
  CPPUNIT_TEST(ReadsAFileAndBothForms);
  CPPUNIT_TEST(PrintsDifferencesFromAFile);
  CPPUNIT_TEST(PrintsOneJsonObject);
  CPPUNIT_TEST(CannotRunWithoutValidInput);
  CPPUNIT_TEST(FileWithErrorsIsNotCompared);
  CPPUNIT_TEST(ComparesWithTheVersionOfTheStore);
  CPPUNIT_TEST(CannotRunWithoutTheVersionOfTheStore);
  CPPUNIT_TEST(PrintsNoKey);
  CPPUNIT_TEST(PrintsNoControlCharacters);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a script that sends a configuration although it has findings.
  void FindingsDetermineTheExitStatus() {
    Checker check;
    CPPUNIT_ASSERT_EQUAL(0, check.Run({"-"}, Spec()));
    CPPUNIT_ASSERT_EQUAL(std::string("version r12\nno findings\n"), check.out);
    CPPUNIT_ASSERT_EQUAL(1, check.Run({"-"}, WithShortTimeout()));
    CPPUNIT_ASSERT_EQUAL(
        std::string("version r12\nwarning config.routes[1].timeoutS: route \"r2\" has a timeout of "
                    "0.3 s, below its latency objective of 0.4 s\n"),
        check.out);
    CPPUNIT_ASSERT_EQUAL(1, check.Run({"-"}, WithSharedKey()));
    CPPUNIT_ASSERT_EQUAL(
        std::string("error config.tenants.org-b: has a key in common with \"org-a\"\n"), check.out);
    CPPUNIT_ASSERT_EQUAL(1, check.Run({"-"}, With(Spec(), "routes", 0, 8, "s9")));
    CPPUNIT_ASSERT_EQUAL(std::string("error config.routes.r1: service \"s9\" is not defined in "
                                     "this configuration\n"),
                         check.out);
    CPPUNIT_ASSERT_EQUAL(1, check.Run({"-"}, std::string("{")));
    CPPUNIT_ASSERT_EQUAL(std::string("error -: is not valid JSON\n"), check.out);
    CPPUNIT_ASSERT_EQUAL(std::string(), check.err);
  }

  // Guards against a document that can only be checked in one of the forms that operators have.
  void ReadsAFileAndBothForms() {
    Checker check;
    const Json object = {{"metadata", {{"name", "main"}, {"revision", 4}}}, {"spec", Spec()}};
    for (const Json& it : {Spec(), object}) {
      const TemporaryFile file(it.dump());
      CPPUNIT_ASSERT_EQUAL(0, check.Run({file.path()}, std::string()));
      CPPUNIT_ASSERT_EQUAL(0, check.Run({"-", "--against", file.path()}, it));
      CPPUNIT_ASSERT_EQUAL(0, check.Run({file.path(), "--against", "-"}, it));
      CPPUNIT_ASSERT_EQUAL(std::string("version r12\nno findings\nno differences from r12\n"),
                           check.out);
    }
  }

  // Guards against differences that are reported the wrong way round, and against an exit status
  // that treats them as findings.
  void PrintsDifferencesFromAFile() {
    Json after = With(Spec(), "routes", 1, 4, 0.9);
    after["version"] = "r13";
    after["services"]["rows"].erase(1);
    after["services"]["rows"].push_back({"s3", "", 20});
    after["routes"]["rows"][1][8] = "s3";
    after["tenants"]["rows"][0][1] = {"secret-2", "secret-4", "secret-5"};
    after["limits"]["idleTimeoutS"] = 20;
    const TemporaryFile before(Spec().dump());
    Checker check;
    CPPUNIT_ASSERT_EQUAL(0, check.Run({"-", "--against", before.path()}, after));
    CPPUNIT_ASSERT_EQUAL(std::string("version r13\n"
                                     "no findings\n"
                                     "differences from r12\n"
                                     "changed config.routes.r2\n"
                                     "    timeoutS: 0.8 s -> 0.9 s\n"
                                     "    split: s2 with weight 1 -> s3 with weight 1\n"
                                     "added config.services.s3\n"
                                     "    healthPath: (empty)\n"
                                     "    maxConns: 20\n"
                                     "removed config.services.s2\n"
                                     "    healthPath: /healthz\n"
                                     "    maxConns: 110\n"
                                     "changed config.tenants.org-a\n"
                                     "    apiKeys: 2 keys -> 3 keys (2 added, 1 removed)\n"
                                     "changed config.limits\n"
                                     "    idleTimeoutS: 15 s -> 20 s\n"),
                         check.out);
  }

  // Guards against output that a script cannot read in one of the cases.
  void PrintsOneJsonObject() {
    const TemporaryFile before(Spec().dump());
    Checker check;
    CPPUNIT_ASSERT_EQUAL(
        1, check.Run({"-", "--json", "--against", before.path()}, WithShortTimeout()));
    CPPUNIT_ASSERT_EQUAL(Json::parse(R"({
          "version": "r12",
          "findings": [{"severity": "warning", "place": "config.routes[1].timeoutS", "message":
            "route \"r2\" has a timeout of 0.3 s, below its latency objective of 0.4 s"}],
          "differences": [{"place": "config.routes.r2", "change": "changed", "fields": [
            {"field": "timeoutS", "before": "0.8 s", "after": "0.3 s"}]}]
        })"),
                         Json::parse(check.out));
    CPPUNIT_ASSERT_EQUAL(0, check.Run({"-", "--json"}, Spec()));
    CPPUNIT_ASSERT_EQUAL(Json::parse(R"({"version": "r12", "findings": [], "differences": null})"),
                         Json::parse(check.out));
    CPPUNIT_ASSERT_EQUAL(0,
                         check.Run({"-", "--output", "json", "--against", before.path()}, Spec()));
    CPPUNIT_ASSERT_EQUAL(Json::parse(R"({"version": "r12", "findings": [], "differences": []})"),
                         Json::parse(check.out));
    CPPUNIT_ASSERT_EQUAL(1, check.Run({"-", "--json"}, WithSharedKey()));
    CPPUNIT_ASSERT(Json::parse(check.out)["version"].is_null());
    CPPUNIT_ASSERT_EQUAL(std::string("error"),
                         Json::parse(check.out)["findings"][0]["severity"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(1, check.Run({"-", "--json"}, std::string("{")));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, Json::parse(check.out)["findings"].size());
  }

  // Guards against a check that passes although it has read or compared nothing.
  void CannotRunWithoutValidInput() {
    const TemporaryFile invalid(WithSharedKey().dump());
    const TemporaryFile malformed("{");
    const std::vector<std::string> cases[] = {
        {},
        {""},
        {"/nonexistent/file"},
        {"/"},
        {"-", "extra"},
        {"-", "--odd"},
        {"-", "--against"},
        {"-", "--against", ""},
        {"-", "--against", "-"},
        {"-", "--against", "/nonexistent/file"},
        {"-", "--against", "/"},
        {"-", "--against", invalid.path()},
        {"-", "--against", malformed.path()},
        {"-", "--against", "r12"},
        {"-", "--against", "r12", "--store", "127.0.0.1"},
        {"-", "--against", "r12", "--store", "127.0.0.1:0"},
        {"-", "--against", invalid.path(), "--store", "127.0.0.1:1"},
        {"-", "--store", "127.0.0.1:1"},
        {"-", "--node", "127.0.0.1:1"},
        {"-", "--timeout-ms", "5"},
        {"-", "-f", "-"},
        {"-", "--id", "x"},
    };
    Checker check;
    for (const auto& it : cases) {
      std::string name;
      for (const std::string& word : it) name += word + " ";
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 2, check.Run(it, Spec()));
      CPPUNIT_ASSERT_MESSAGE(name, !check.err.empty());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string(), check.out);
    }
  }

  // Guards against differences from a configuration that was decoded only in part.
  void FileWithErrorsIsNotCompared() {
    const TemporaryFile before(Spec().dump());
    Checker check;
    CPPUNIT_ASSERT_EQUAL(1,
                         check.Run({"-", "--json", "--against", before.path()}, WithSharedKey()));
    CPPUNIT_ASSERT(Json::parse(check.out)["differences"].is_null());
  }

  // Guards against a comparison with another object of the store, and against more than one call,
  // since the platform bills each of them.
  void ComparesWithTheVersionOfTheStore() {
    Checker check;
    FakeStore store(check.base.get());
    Json other = Spec();
    other["version"] = "r99";
    store.Put(platform::kConfigKind, "aaa", other);
    store.Put(platform::kConfigKind, platform::kConfigName, Spec());
    CPPUNIT_ASSERT_EQUAL(1,
                         check.Run({"-", "--against", "r12", "--store", store.address().ToString()},
                                   WithShortTimeout()));
    CPPUNIT_ASSERT_MESSAGE(check.out,
                           check.out.find("differences from r12\n"
                                          "changed config.routes.r2\n"
                                          "    timeoutS: 0.8 s -> 0.3 s\n") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, store.calls());
    CPPUNIT_ASSERT_EQUAL(1,
                         check.Run({"-", "--against", "r12", "--store", store.address().ToString()},
                                   WithSharedKey()));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, store.calls());
  }

  // Guards against a comparison with a version that the operator did not name.
  void CannotRunWithoutTheVersionOfTheStore() {
    Checker check;
    FakeStore store(check.base.get());
    const auto assert_cannot_run = [&](const char* version, const std::string& reason) {
      const std::string address = store.address().ToString();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          reason, 2, check.Run({"-", "--against", version, "--store", address}, Spec()));
      CPPUNIT_ASSERT_EQUAL(std::string(), check.out);
      CPPUNIT_ASSERT_MESSAGE(check.err, check.err.find(address + ": " + reason) == 0);
    };
    assert_cannot_run("r12", "the store has no configuration");
    store.Put(platform::kConfigKind, "other", Spec());
    assert_cannot_run("r12", "the store has no configuration");
    store.Put(platform::kConfigKind, platform::kConfigName, Spec());
    assert_cannot_run("r11", "the store has version r12, not r11");
    store.Put(platform::kConfigKind, platform::kConfigName, WithSharedKey());
    assert_cannot_run("r12", "config.tenants.org-b: has a key in common");
    store.set_fault(FakeStore::Fault::kBusy);
    assert_cannot_run("r12", "unavailable");
    store.set_fault(FakeStore::Fault::kUnresponsive);
    assert_cannot_run("r12", "");
  }

  // Guards against a key in any output, which may be kept in logs.
  void PrintsNoKey() {
    Json changed = With(Spec(), "tenants", 0, 1, {"secret-2", "secret-4"});
    changed["tenants"]["rows"].erase(1);
    changed["tenants"]["rows"].push_back({"org-c", {"secret-5"}, nullptr, 0, 0.5});
    std::string unquoted = Spec().dump();
    unquoted.replace(unquoted.find("\"secret-1\""), 10, "secret-1 ");
    const std::vector<std::string> documents = {
        Spec().dump(),
        changed.dump(),
        WithSharedKey().dump(),
        unquoted,
        unquoted.substr(0, unquoted.find("secret-1") + 8),
        With(Spec(), "tenants", 0, 1, "secret-1").dump(),
        With(Spec(), "tenants", 0, 1, {"secret-1", ""}).dump(),
        With(Spec(), "tenants", 0, 1, {"secret-1", 5}).dump(),
        With(Spec(), "tenants", 0, 1, {{"secret-1", "secret-2"}}).dump(),
        With(Spec(), "tenants", 0, 0, "").dump(),
    };
    Checker check;
    for (const std::string& file : documents) {
      for (const std::string& against : documents) {
        const TemporaryFile before(against);
        for (const char* format : {"human", "json"}) {
          check.Run({"-", "--against", before.path(), "--output", format}, file);
          CPPUNIT_ASSERT(!(check.out + check.err).empty());
          CPPUNIT_ASSERT_MESSAGE(check.out + check.err,
                                 (check.out + check.err).find("secret") == std::string::npos);
        }
      }
    }
  }

  // Guards against names that change the operator's terminal or add lines to the output.
  void PrintsNoControlCharacters() {
    const std::string name = "r2\n\x1b[2J\x7f";
    const TemporaryFile before(Spec().dump());
    Checker check;
    for (const Json& it :
         {With(WithShortTimeout(), "routes", 1, 0, name), With(Spec(), "routes", 1, 3, name)}) {
      CPPUNIT_ASSERT_EQUAL(1, check.Run({"-", "--against", before.path()}, it));
      CPPUNIT_ASSERT_EQUAL(std::string::npos, check.out.find_first_of("\x1b\x7f"));
      CPPUNIT_ASSERT_EQUAL(std::string::npos, check.out.find("\n["));
      CPPUNIT_ASSERT_MESSAGE(check.out, check.out.find("r2??[2J?") != std::string::npos);
      const TemporaryFile invalid(it.dump());
      check.Run({"-", "--against", invalid.path()}, Spec());
      CPPUNIT_ASSERT_EQUAL(std::string::npos, (check.out + check.err).find_first_of("\x1b\x7f"));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CheckTest);

}  // namespace
}  // namespace camphorhoist
