#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>
#include <vector>

#include "camphorhoist/change_set.h"
#include "camphorhoist/config_head.h"
#include "camphorhoist/delta.h"
#include "camphorhoist/record.h"
#include "libconfig/config_fixture.h"
#include "libconfig/config_trace_checks.h"

namespace camphorhoist {
namespace {

constexpr uint64_t kSeed = 7;
// With sanitizers on a busy machine, 4,000 inputs per decoder take 15 s, above the limit of 10 s.
constexpr int kInputsPerDecoder = 2000;

const char kRecords[] = R"({"records":[{"schema":1,"kind":"service","name":"a","timeout_ms":5,
"max_queue_ms":0,"hedge":true},{"schema":1,"kind":"endpoint","name":"e","service":"a",
"address":"10.0.0.1:80","enabled":false,"weight":7},{"schema":1,"kind":"route","name":"r",
"match":{"path_prefix":"/a","methods":["GET","PUT"],"host":"h"},"service":"a","priority":-1},
{"schema":2,"kind":"route","name":"s","match":{"path_prefix":"/"},"idempotent":["GET"],
"destinations":[{"service":"a","weight":2,"endpoint":"e"}],"timeout_ms":9}]})";

/// JSON fragments that reach deeper into a decoder than random bytes do.
const char* const kFragments[] = {"{",
                                  "}",
                                  "[",
                                  "]",
                                  ",",
                                  ":",
                                  "\"",
                                  "null",
                                  "true",
                                  "-1",
                                  "0",
                                  "1e999",
                                  "1.5",
                                  "\\u0000",
                                  "\\ud800",
                                  "\xff",
                                  "\"name\"",
                                  "\"version\"",
                                  "[[[[[[",
                                  "\"schema\":2",
                                  "\"kind\":\"route\"",
                                  "18446744073709551616"};

class Mutator {
 public:
  std::string Mutate(std::string text) {
    for (uint64_t n = 1 + rng_() % 4; n > 0; --n) MutateOnce(&text);
    return text;
  }

 private:
  void MutateOnce(std::string* text) {
    if (text->empty()) return;
    const size_t at = rng_() % text->size();
    const size_t length = rng_() % 16;
    switch (rng_() % 6) {
      case 0:
        (*text)[at] = static_cast<char>(rng_());
        break;
      case 1:
        text->erase(at, length);
        break;
      case 2:
        text->insert(at, text->substr(rng_() % text->size(), length));
        break;
      case 3:
        text->insert(at, kFragments[rng_() % std::size(kFragments)]);
        break;
      case 4:
        (*text)[at] = static_cast<char>('0' + rng_() % 10);
        break;
      default:
        if (rng_() % 8 == 0) text->resize(at);
    }
  }

  std::mt19937_64 rng_{kSeed};
};

/// Runs a decoder on `text` and returns whether it accepted the input. Adds a violation if an
/// accepted input changes when it is encoded and decoded again, or if the findings contradict the
/// result. The functions below do the same for the other decoders.
bool TryRecords(const std::string& text, Findings* violations) {
  Findings findings;
  const std::vector<Record> records = ParseRecords(text, "f", &findings);
  std::vector<StoredRecord> stored;
  for (const Record& it : records) {
    Findings again;
    const std::optional<Record> parsed = Record::Parse(it.body(), "r", &again);
    if (!parsed || *parsed != it) violations->Add("records", "body does not parse: " + it.body());
    const std::optional<Record> back = it.Upgraded().Downgraded();
    if (it.schema() == 1 && (!back || *back != it)) {
      violations->Add("records", "conversion loses a field: " + it.body());
    }
    stored.push_back({it, 1});
  }
  Findings errors;
  const Snapshot::Ptr snapshot = Snapshot::Build({1, 1}, stored, &errors);
  if (snapshot != nullptr) CheckRoutesResolve(*snapshot, violations);
  if ((snapshot != nullptr) != errors.empty()) violations->Add("snapshot", "findings disagree");
  return findings.empty();
}

bool TryHead(const std::string& text, Findings* violations) {
  Findings findings;
  const std::optional<ConfigHead> head = DecodeHead(text, "head", &findings);
  if (head.has_value() != findings.empty()) violations->Add("head", "findings disagree");
  if (!head) return false;
  const std::string encoded = EncodeHead(*head);
  const std::optional<ConfigHead> again = DecodeHead(encoded, "head", &findings);
  if (!again || EncodeHead(*again) != encoded) violations->Add("head", "is not stable: " + text);
  return true;
}

bool TryPage(const std::string& text, Findings* violations) {
  bool accepted = false;
  for (const size_t index : {PageIndexOf({RecordKind::kService, "a"}), size_t{0}}) {
    Findings findings;
    const ConfigPage::Ptr page = ConfigPage::Decode(index, text, "page", &findings);
    if ((page != nullptr) != findings.empty()) violations->Add("page", "findings disagree");
    if (page != nullptr && page->Encode() != text) violations->Add("page", "is not canonical");
    accepted = accepted || page != nullptr;
  }
  return accepted;
}

bool TryDelta(const std::string& text, Findings* violations) {
  Findings findings;
  const std::optional<Delta> delta = DecodeDelta(text, "delta", &findings);
  if (delta.has_value() != findings.empty()) violations->Add("delta", "findings disagree");
  if (!delta) return false;
  const Snapshot::Ptr snapshot = ApplyDelta(*Snapshot::Empty(), *delta, &findings);
  if ((snapshot != nullptr) != findings.empty()) violations->Add("delta", "findings disagree");
  if (snapshot != nullptr && snapshot->hash() != delta->to_hash) {
    violations->Add("delta", "was applied, but the result has another hash");
  }
  return true;
}

bool TryChangeSet(const std::string& text, Findings* violations) {
  Findings findings;
  const std::optional<ChangeSet> change_set = ParseChangeSet(text, "c", &findings);
  if (change_set.has_value() != findings.empty()) violations->Add("changes", "findings disagree");
  if (!change_set) return false;
  const std::string encoded = EncodeChangeSet(*change_set);
  const std::optional<ChangeSet> again = ParseChangeSet(encoded, "c", &findings);
  if (!again || EncodeChangeSet(*again) != encoded) violations->Add("changes", "is not stable");
  return true;
}

class FuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FuzzTest);
  CPPUNIT_TEST(DecodersHandleMutatedInput);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a crash, or a partially decoded value, on invalid input from an operator, the
  // platform or a peer.
  void DecodersHandleMutatedInput() {
    const Snapshot::Ptr snapshot = BuildSnapshot(1, kRecords);
    const ConfigPage& page = *snapshot->pages()[PageIndexOf({RecordKind::kService, "a"})];
    const std::string changes = R"({"id":"c","changes":[{"upsert":)" +
                                snapshot->records()[0].record.body() +
                                R"(,"read_version":1},{"remove":"route/r","unconditional":true}]})";
    struct Target {
      bool (*decode)(const std::string&, Findings*);
      std::string input;
    };
    const Target targets[] = {
        {&TryRecords, kRecords},
        {&TryHead, EncodeHead(MakeHead(*snapshot, {}, "change-1"))},
        {&TryPage, page.Encode()},
        {&TryDelta, EncodeDelta(MakeDelta(*Snapshot::Empty(), *snapshot))},
        {&TryChangeSet, changes},
    };
    Mutator mutator;
    Findings violations;
    for (const Target& it : targets) {
      CPPUNIT_ASSERT(it.decode(it.input, &violations));
      int refused = 0;
      for (int n = 0; n < kInputsPerDecoder; ++n) {
        refused += it.decode(mutator.Mutate(it.input), &violations) ? 0 : 1;
      }
      CPPUNIT_ASSERT(refused > 0);
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), violations.ToString());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FuzzTest);

}  // namespace
}  // namespace camphorhoist
