#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <deque>
#include <fstream>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "camphorhoist/acceptance.h"
#include "libconfig/config_fixture.h"
#include "libconfig/fake_store.h"

namespace camphorhoist {
namespace {

std::string ServiceText(const std::string& name, int timeout_ms) {
  return R"({"schema":1,"kind":"service","name":")" + name + R"(","timeout_ms":)" +
         std::to_string(timeout_ms) + "}";
}

std::string UpsertText(const std::string& record, const std::string& condition) {
  return R"({"upsert":)" + record + "," + condition + "}";
}

std::string ChangeSetText(const std::string& id, const std::string& changes) {
  return R"({"id":")" + id + R"(","changes":[)" + changes + "]}";
}

std::string ReadVersionText(int version) { return "\"read_version\":" + std::to_string(version); }

/// Replaces the hash of the empty page, which is that of most pages of a head, by "EMPTY".
std::string AbbreviateEmptyHash(std::string text) {
  const std::string& hash = ConfigPage::Empty()->hash();
  for (size_t n = text.find(hash); n != std::string::npos; n = text.find(hash, n)) {
    text.replace(n, hash.size(), "EMPTY");
  }
  return text;
}

/// Formats effects and results as lines of text.
class Transcript {
 public:
  void AddComment(const std::string& text) { text_ += "# " + text + "\n"; }

  void AddEffect(const AcceptEffect& effect) {
    std::ostringstream out;
    if (const auto* read = std::get_if<ReadObject>(&effect)) {
      out << "> read " << read->key << " attempt=" << read->attempt;
    } else if (const auto* write = std::get_if<WriteObject>(&effect)) {
      out << "> write " << write->key << " expected=";
      out << (write->expected_version ? std::to_string(*write->expected_version) : "absent");
      out << " attempt=" << write->attempt << " " << write->body;
    } else {
      out << "> outcome " << EncodeOutcome(std::get<AcceptOutcome>(effect));
    }
    text_ += AbbreviateEmptyHash(out.str()) + "\n";
  }

  void AddResult(const ReadResult& result) {
    if (const auto* found = std::get_if<ObjectFound>(&result)) {
      AddResultLine("found version=" + std::to_string(found->version) + " " + found->body);
    } else if (const auto* failed = std::get_if<OperationFailed>(&result)) {
      AddResultLine("failed " + failed->reason);
    } else {
      AddResultLine("not found");
    }
  }

  void AddResult(const WriteResult& result) {
    if (const auto* done = std::get_if<WriteDone>(&result)) {
      AddResultLine("done version=" + std::to_string(done->version));
    } else if (const auto* failed = std::get_if<OperationFailed>(&result)) {
      AddResultLine("failed " + failed->reason);
    } else if (const auto* unknown = std::get_if<WriteUnknown>(&result)) {
      AddResultLine("unknown effect " + unknown->reason);
    } else {
      AddResultLine("conflict");
    }
  }

  const std::string& text() const { return text_; }

 private:
  void AddResultLine(const std::string& text) { text_ += AbbreviateEmptyHash("< " + text) + "\n"; }

  std::string text_;
};

/// What happens to one operation of a session.
enum class Event {
  kNormal,
  kFailed,            // the operation fails without effect
  kLost,              // the operation takes effect, but its response is lost
  kTimeout,           // the operation times out and has no effect
  kConcurrentWriter,  // another operator's change set is accepted before the operation runs
  kDeadline,          // the deadline of the acceptance passes
};

struct GoldenCase {
  const char* name;
  bool has_head;
  int fleet_schema;
  std::string change_set;
  /// Events of the first operations, in order; the later operations run normally.
  std::vector<Event> events;
  /// The change set that is accepted on `kConcurrentWriter`.
  std::string writer;
};

/// Events of a session in which `event` occurs at the first head write. This is the fifth
/// operation, after three reads and a page write.
std::vector<Event> AtHeadWrite(Event event) {
  std::vector<Event> events(4, Event::kNormal);
  events.push_back(event);
  return events;
}

std::vector<GoldenCase> Cases() {
  const std::string subject =
      ChangeSetText("subject", UpsertText(ServiceText("a", 2), ReadVersionText(1)));
  const std::string other =
      ChangeSetText("other", UpsertText(ServiceText("b", 9), ReadVersionText(1)));
  const std::string same =
      ChangeSetText("other", UpsertText(ServiceText("a", 9), ReadVersionText(1)));
  const std::string route =
      R"({"schema":2,"kind":"route","name":"r","match":{"path_prefix":"/"},
          "destinations":[{"service":"x","weight":1}]})";
  return {
      {"first_head",
       false,
       2,
       ChangeSetText("subject", UpsertText(ServiceText("a", 1), ReadVersionText(0))),
       {},
       ""},
      {"accepted", true, 2, subject, {}, ""},
      {"resubmitted",
       true,
       2,
       ChangeSetText("first", UpsertText(ServiceText("a", 1), ReadVersionText(0))),
       {},
       ""},
      {"lost_response", true, 2, subject, AtHeadWrite(Event::kLost), ""},
      {"cancelled_write", true, 2, subject, AtHeadWrite(Event::kTimeout), ""},
      {"race_other_record", true, 2, subject, AtHeadWrite(Event::kConcurrentWriter), other},
      {"race_same_record", true, 2, subject, AtHeadWrite(Event::kConcurrentWriter), same},
      {"rejected",
       true,
       1,
       ChangeSetText("subject", UpsertText(route, ReadVersionText(0))),
       {},
       ""},
      {"platform_down", true, 2, subject, std::vector<Event>(5, Event::kFailed), ""},
      {"deadline", true, 2, subject, AtHeadWrite(Event::kDeadline), ""},
  };
}

ChangeSet ParseOrThrow(const std::string& text) {
  Findings findings;
  std::optional<ChangeSet> change_set = ParseChangeSet(text, "changes", &findings);
  RequireNoFindings(findings);
  return *change_set;
}

void SubmitOther(FakeStore* store, const std::string& text) {
  Acceptance acceptance(ParseOrThrow(text), Snapshot::Empty(), kMaxSchema);
  RunAcceptance(store, &acceptance);
}

class GoldenSession {
 public:
  explicit GoldenSession(GoldenCase golden)
      : golden_(std::move(golden)),
        events_(golden_.events.begin(), golden_.events.end()),
        acceptance_(ParseOrThrow(golden_.change_set), Snapshot::Empty(), golden_.fleet_schema) {}

  std::string Run() {
    if (golden_.has_head) {
      SubmitOther(&store_,
                  ChangeSetText("first", UpsertText(ServiceText("a", 1), ReadVersionText(0)) + "," +
                                             UpsertText(ServiceText("b", 1), ReadVersionText(0))));
    }
    transcript_.AddComment("change set " + EncodeChangeSet(ParseOrThrow(golden_.change_set)));
    AcceptEffect effect = acceptance_.Start();
    transcript_.AddEffect(effect);
    while (!std::holds_alternative<AcceptOutcome>(effect)) {
      effect = Step(effect);
      transcript_.AddEffect(effect);
    }
    return transcript_.text();
  }

 private:
  AcceptEffect Step(const AcceptEffect& effect) {
    Event event = Event::kNormal;
    if (!events_.empty()) {
      event = events_.front();
      events_.pop_front();
    }
    if (event == Event::kDeadline) {
      transcript_.AddComment("deadline");
      return acceptance_.OnDeadline();
    }
    if (event == Event::kConcurrentWriter) {
      transcript_.AddComment("another operator: " + golden_.writer);
      SubmitOther(&store_, golden_.writer);
    }
    const auto* write = std::get_if<WriteObject>(&effect);
    if (write != nullptr && event == Event::kLost) store_.Write(*write);
    if (event == Event::kTimeout) {
      transcript_.AddComment("timeout");
      return acceptance_.OnTimeout();
    }
    return write != nullptr ? Write(*write, event) : Read(std::get<ReadObject>(effect), event);
  }

  AcceptEffect Write(const WriteObject& write, Event event) {
    WriteResult result = WriteUnknown{"connection lost"};
    if (event == Event::kFailed) result = OperationFailed{"connection refused"};
    if (event == Event::kNormal || event == Event::kConcurrentWriter) result = store_.Write(write);
    transcript_.AddResult(result);
    return acceptance_.OnWrite(result);
  }

  AcceptEffect Read(const ReadObject& read, Event event) {
    ReadResult result = OperationFailed{"connection refused"};
    if (event != Event::kFailed) result = store_.Read(read.key);
    transcript_.AddResult(result);
    return acceptance_.OnRead(result);
  }

  GoldenCase golden_;
  std::deque<Event> events_;
  Acceptance acceptance_;
  FakeStore store_;
  Transcript transcript_;
};

class GoldenTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GoldenTest);
  CPPUNIT_TEST(SessionsMatchFiles);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an unintended change of the stored formats or of the order of operations, which
  // nodes of different releases must share. CAMPHORHOIST_UPDATE_GOLDEN=1 regenerates the files.
  void SessionsMatchFiles() {
    const bool update = std::getenv("CAMPHORHOIST_UPDATE_GOLDEN") != nullptr;
    for (const GoldenCase& it : Cases()) {
      const std::string path =
          std::string(CAMPHORHOIST_SOURCE_DIR) + "/testdata/" + it.name + ".golden";
      const std::string text = GoldenSession(it).Run();
      if (update) std::ofstream(path) << text;
      std::ifstream file(path);
      std::ostringstream expected;
      expected << file.rdbuf();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(path, expected.str(), text);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GoldenTest);

}  // namespace
}  // namespace camphorhoist
