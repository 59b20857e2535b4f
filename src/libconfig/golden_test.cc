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

std::string Service(const std::string& name, int timeout_ms) {
  return R"({"schema":1,"kind":"service","name":")" + name + R"(","timeout_ms":)" +
         std::to_string(timeout_ms) + "}";
}

std::string Upsert(const std::string& record, const std::string& condition) {
  return R"({"upsert":)" + record + "," + condition + "}";
}

std::string Changes(const std::string& id, const std::string& changes) {
  return R"({"id":")" + id + R"(","changes":[)" + changes + "]}";
}

std::string ReadAt(int version) { return "\"read_version\":" + std::to_string(version); }

/// Replaces the hash of the page without records, which most entries of a head are.
std::string Shorten(std::string text) {
  const std::string& hash = ConfigPage::Empty()->hash();
  for (size_t n = text.find(hash); n != std::string::npos; n = text.find(hash, n)) {
    text.replace(n, hash.size(), "EMPTY");
  }
  return text;
}

/// Writes effects and results as lines.
class Transcript {
 public:
  void Note(const std::string& text) { text_ += "# " + text + "\n"; }

  void Effect(const AcceptEffect& effect) {
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
    text_ += Shorten(out.str()) + "\n";
  }

  void Result(const ReadResult& result) {
    if (const auto* found = std::get_if<ObjectFound>(&result)) {
      Line("found version=" + std::to_string(found->version) + " " + found->body);
    } else if (const auto* failed = std::get_if<OperationFailed>(&result)) {
      Line("failed " + failed->reason);
    } else {
      Line("not found");
    }
  }

  void Result(const WriteResult& result) {
    if (const auto* done = std::get_if<WriteDone>(&result)) {
      Line("done version=" + std::to_string(done->version));
    } else if (const auto* failed = std::get_if<OperationFailed>(&result)) {
      Line("failed " + failed->reason);
    } else if (const auto* unknown = std::get_if<WriteUnknown>(&result)) {
      Line("unknown effect " + unknown->reason);
    } else {
      Line("conflict");
    }
  }

  const std::string& text() const { return text_; }

 private:
  void Line(const std::string& text) { text_ += Shorten("< " + text) + "\n"; }

  std::string text_;
};

/// What happens to the operations of a session from the first one on.
enum class Event {
  kNormal,
  kFailed,    // no effect
  kLost,      // effect without a response
  kTimeout,   // no response and no effect
  kWriter,    // another operator's change set is accepted first, then the operation runs
  kDeadline,  // the driver ends the acceptance
};

struct GoldenCase {
  const char* name;
  bool has_head;
  int fleet_schema;
  std::string change_set;
  std::vector<Event> events;
  /// The change set of `kWriter`.
  std::string writer;
};

std::vector<GoldenCase> Cases() {
  const Event kN = Event::kNormal;
  const std::string subject = Changes("subject", Upsert(Service("a", 2), ReadAt(1)));
  const std::string other = Changes("other", Upsert(Service("b", 9), ReadAt(1)));
  const std::string same = Changes("other", Upsert(Service("a", 9), ReadAt(1)));
  const std::string route =
      R"({"schema":2,"kind":"route","name":"r","match":{"path_prefix":"/"},
          "destinations":[{"service":"x","weight":1}]})";
  return {
      {"first_head", false, 2, Changes("subject", Upsert(Service("a", 1), ReadAt(0))), {}, ""},
      {"accepted", true, 2, subject, {}, ""},
      {"resubmitted", true, 2, Changes("first", Upsert(Service("a", 1), ReadAt(0))), {}, ""},
      {"lost_response", true, 2, subject, {kN, kN, kN, kN, Event::kLost}, ""},
      {"cancelled_write", true, 2, subject, {kN, kN, kN, kN, Event::kTimeout}, ""},
      {"race_other_record", true, 2, subject, {kN, kN, kN, kN, Event::kWriter}, other},
      {"race_same_record", true, 2, subject, {kN, kN, kN, kN, Event::kWriter}, same},
      {"rejected", true, 1, Changes("subject", Upsert(route, ReadAt(0))), {}, ""},
      {"platform_down", true, 2, subject, std::vector<Event>(5, Event::kFailed), ""},
      {"deadline", true, 2, subject, {kN, kN, kN, kN, Event::kDeadline}, ""},
  };
}

ChangeSet Parse(const std::string& text) {
  Findings findings;
  std::optional<ChangeSet> change_set = ParseChangeSet(text, "changes", &findings);
  RequireNone(findings);
  return *change_set;
}

void SubmitOther(FakeStore* store, const std::string& text) {
  Acceptance acceptance(Parse(text), Snapshot::Empty(), kMaxSchema);
  Commit(store, &acceptance);
}

class GoldenSession {
 public:
  explicit GoldenSession(GoldenCase golden)
      : golden_(std::move(golden)),
        events_(golden_.events.begin(), golden_.events.end()),
        acceptance_(Parse(golden_.change_set), Snapshot::Empty(), golden_.fleet_schema) {}

  std::string Run() {
    if (golden_.has_head) {
      SubmitOther(&store_, Changes("first", Upsert(Service("a", 1), ReadAt(0)) + "," +
                                                Upsert(Service("b", 1), ReadAt(0))));
    }
    transcript_.Note("change set " + EncodeChangeSet(Parse(golden_.change_set)));
    AcceptEffect effect = acceptance_.Start();
    transcript_.Effect(effect);
    while (!std::holds_alternative<AcceptOutcome>(effect)) {
      effect = Step(effect);
      transcript_.Effect(effect);
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
      transcript_.Note("deadline");
      return acceptance_.OnDeadline();
    }
    if (event == Event::kWriter) {
      transcript_.Note("another operator: " + golden_.writer);
      SubmitOther(&store_, golden_.writer);
    }
    const auto* write = std::get_if<WriteObject>(&effect);
    if (write != nullptr && event == Event::kLost) store_.Write(*write);
    if (event == Event::kTimeout) {
      transcript_.Note("timeout");
      return acceptance_.OnTimeout();
    }
    return write != nullptr ? Write(*write, event) : Read(std::get<ReadObject>(effect), event);
  }

  AcceptEffect Write(const WriteObject& write, Event event) {
    WriteResult result = WriteUnknown{"connection lost"};
    if (event == Event::kFailed) result = OperationFailed{"connection refused"};
    if (event == Event::kNormal || event == Event::kWriter) result = store_.Write(write);
    transcript_.Result(result);
    return acceptance_.OnWrite(result);
  }

  AcceptEffect Read(const ReadObject& read, Event event) {
    ReadResult result = OperationFailed{"connection refused"};
    if (event != Event::kFailed) result = store_.Read(read.key);
    transcript_.Result(result);
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
  // nodes of two releases must share. CAMPHORHOIST_UPDATE_GOLDEN=1 writes the files anew.
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
