#include <catch2/catch.hpp>
#include <string>

#include "absl/strings/str_cat.h"
#include "steer/steer.h"

namespace baobabwall::steer {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1000);

std::string Key(int nonce) {
  return absl::StrCat(
      IdempotencyKey::Prefix({"a", 5}, kStart + absl::Minutes(5)), ".", nonce);
}

KeyStatus Begin(KeyTable* table,
                int nonce,
                const std::string& tenant,
                absl::Time now = kStart) {
  return table->Begin(Key(nonce), *IdempotencyKey::Parse(Key(nonce)), tenant, 1,
                      now);
}

KeyEnd MakeKeyEnd(size_t bytes) {
  KeyEnd end;
  end.outcome = base::Outcome::kRun;
  end.status = 200;
  end.has_answer = true;
  end.body = std::string(bytes, 'x');
  return end;
}

// Guards against one tenant that fills the whole table, and against the
// eviction of a live key from a full table.
TEST_CASE("a flood of keys from one tenant leaves free records for others") {
  KeyTable table(100);
  int record_count = 0;
  while (Begin(&table, record_count, "loud") == KeyStatus::kRun) {
    ++record_count;
  }
  CHECK(record_count == 80);
  CHECK(Begin(&table, 1000, "quiet") == KeyStatus::kRun);
  for (int i = 0; i < record_count; ++i) {
    CHECK(Begin(&table, i, "loud") == KeyStatus::kStillRunning);
  }
}

// Guards against unbounded memory for stored answers, and against a tenant with
// large answers that displaces the answers of other tenants.
TEST_CASE(
    "answers of the tenant with the most answer bytes are dropped first") {
  KeyTable table(100, 1000);
  Begin(&table, 0, "quiet");
  table.End(Key(0), MakeKeyEnd(100));
  for (int i = 1; i <= 50; ++i) {
    Begin(&table, i, "loud");
    table.End(Key(i), MakeKeyEnd(300));
    CHECK(table.answer_bytes() <= 1000);
  }
  CHECK(table.FindEnd(Key(0))->has_answer);
  CHECK_FALSE(table.FindEnd(Key(1))->has_answer);
  CHECK(table.FindEnd(Key(1))->outcome == base::Outcome::kRun);
  CHECK(Begin(&table, 1, "loud") == KeyStatus::kEnded);
  CHECK(table.FindEnd(Key(50))->has_answer);
}

// Guards against records that are never evicted, and against the eviction of a
// key that runs longer than its expiry.
TEST_CASE("only records of ended runs expire") {
  KeyTable table(100);
  Begin(&table, 0, "t");
  Begin(&table, 1, "t");
  table.End(Key(1), MakeKeyEnd(1));
  Begin(&table, 2, "t");
  KeyEnd not_run;
  not_run.outcome = base::Outcome::kNotRun;
  table.End(Key(2), not_run);
  CHECK(table.size() == 2);
  CHECK(Begin(&table, 2, "t") == KeyStatus::kRun);
  table.End(Key(2), not_run);
  table.Expire(kStart + absl::Hours(1));
  CHECK(table.size() == 1);
  CHECK(table.answer_bytes() == 0);
  const absl::Time after_expiry = kStart + absl::Hours(1);
  CHECK(Begin(&table, 0, "t", after_expiry) == KeyStatus::kStillRunning);
  CHECK(Begin(&table, 1, "t", after_expiry) == KeyStatus::kExpired);
  // After the clock was set back, the evicted key must not run again.
  CHECK(Begin(&table, 1, "t") == KeyStatus::kExpired);
}

// Guards against several spellings of one key, which would create several
// records.
TEST_CASE("only the canonical spelling of a key is accepted") {
  CHECK(IdempotencyKey::Parse("a.5.7.n").has_value());
  for (const char* text :
       {"a.05.7.n", "a. 5.7.n", "a.5.+7.n", "a.5.7.", ".5.7.n", "a.5.7.n.n",
        "a.5.99999999999999999999.n"}) {
    INFO(text);
    CHECK_FALSE(IdempotencyKey::Parse(text).has_value());
  }
}

}  // namespace
}  // namespace baobabwall::steer
