#include "gateway/src/server_limits.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include "absl/strings/str_cat.h"
#include "base/base.h"
#include "gateway/gateway.h"
#include "instance_records.h"

namespace baobabwall::gateway {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(10);
constexpr absl::Duration kHeartbeatInterval = absl::Milliseconds(300);
constexpr absl::Duration kRecordLease = absl::Seconds(12);
/// Time after which an instance must respect a limit that it was told.
constexpr absl::Duration kToldDelay = absl::Milliseconds(500);
constexpr char kRegions[] = {'a', 'b', 'c'};

ServerLoad MakeServer(absl::string_view id, int64_t incarnation = 1) {
  BackendServer server;
  server.id = std::string(id);
  server.zone = "a-1";
  server.incarnation = incarnation;
  return ServerLoad(std::make_shared<const BackendServer>(server));
}

/// A fleet on a virtual clock whose instances send to one server in region a as
/// much as they may. Heartbeats and changes of the records arrive late.
class LimitWorld {
 public:
  LimitWorld(int instance_count, uint64_t seed) : random_(seed) {
    for (int i = 0; i < instance_count; ++i) {
      Member& member = members_.emplace_back();
      const char region = kRegions[i % std::size(kRegions)];
      member.record = Instance(absl::StrCat("i", i),
                               absl::StrCat(std::string(1, region), "-", i % 2),
                               std::string(1, region));
    }
    for (size_t i = 0; i < members_.size(); ++i) {
      Launch(i);
    }
    Run(ServerLimits::kStartDelay);
  }

  /// Lets the server name a limit in all further answers; nullopt: none.
  void SetLimit(std::optional<double> per_s) {
    limit_ = per_s;
    arrivals_.clear();
    named_at_ = now_;
  }
  /// Sets the rate at which each instance wants to send.
  void SetDemand(double per_s) { demand_per_s_ = per_s; }

  void Launch(size_t i) {
    Member& member = members_[i];
    member.record.incarnation += 1;
    member.limits = std::make_unique<ServerLimits>(member.record.name,
                                                   ServerLimits::ChangeHook());
    member.told_at = absl::InfiniteFuture();
    member.record_until = absl::InfiniteFuture();
    records_changed_ = true;
  }
  void Kill(size_t i) {
    members_[i].limits.reset();
    members_[i].record_until = now_ + kRecordLease;
  }
  /// Cuts the instances from the others and from the store.
  void Cut(std::function<bool(size_t)> is_cut) {
    for (size_t i = 0; i < members_.size(); ++i) {
      if (is_cut(i)) {
        members_[i].is_cut = true;
        members_[i].record_until = now_ + kRecordLease;
      }
    }
  }
  void Heal() {
    for (Member& member : members_) {
      if (std::exchange(member.is_cut, false)) {
        member.record_until = absl::InfiniteFuture();
      }
    }
    records_changed_ = true;
  }

  void Run(absl::Duration duration) {
    for (const absl::Time end = now_ + duration; now_ < end;) {
      Step();
    }
  }

  /// \returns the largest number of requests beyond the bound in a window;
  /// negative if there were fewer than allowed.
  double max_excess() const { return max_excess_; }
  double ArrivalsPerS(absl::Duration duration) {
    const int before = total_arrivals_;
    Run(duration);
    return (total_arrivals_ - before) / absl::ToDoubleSeconds(duration);
  }
  size_t size() const { return members_.size(); }
  bool is_up(size_t i) const { return members_[i].limits != nullptr; }
  base::Random& random() { return random_; }

 private:
  struct Member {
    InstanceRecord record;
    std::unique_ptr<ServerLimits> limits;
    absl::Time told_at;       ///< First answer with a limit.
    absl::Time record_until;  ///< End of the record in the store.
    bool is_cut = false;
    absl::Time next_heartbeat_at = absl::InfinitePast();
  };

  void At(absl::Duration delay, std::function<void()> event) {
    events_.emplace(now_ + delay, std::move(event));
  }

  void Step() {
    now_ += kStep;
    while (!events_.empty() && events_.begin()->first <= now_) {
      const std::function<void()> event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
    UpdateRecords();
    for (size_t i = 0; i < members_.size(); ++i) {
      if (members_[i].limits == nullptr) {
        continue;
      }
      const double expected = demand_per_s_ * absl::ToDoubleSeconds(kStep);
      if (random_.Unit() < expected) {
        TrySend(i);
      }
      if (now_ >= members_[i].next_heartbeat_at) {
        SendHeartbeat(i);
      }
    }
  }

  /// Each instance learns of changed records within a second; those that are
  /// cut off keep their view.
  void UpdateRecords() {
    std::vector<InstanceRecord> records;
    for (Member& member : members_) {
      if (now_ < member.record_until) {
        records.push_back(member.record);
      }
    }
    if (records.size() == last_record_count_ && !records_changed_) {
      return;
    }
    last_record_count_ = records.size();
    records_changed_ = false;
    for (size_t i = 0; i < members_.size(); ++i) {
      if (members_[i].is_cut) {
        continue;
      }
      const int64_t incarnation = members_[i].record.incarnation;
      At(absl::Seconds(random_.Unit()), [this, i, incarnation, records] {
        Member& member = members_[i];
        if (member.limits == nullptr || member.is_cut ||
            member.record.incarnation != incarnation) {
          return;
        }
        member.limits->SetInstances(records, records, now_);
      });
    }
  }

  void TrySend(size_t i) {
    Member& member = members_[i];
    if (!member.limits->HasToken(server_, "a", now_)) {
      return;
    }
    member.limits->OnRequestStart(server_, now_);
    const absl::Time sent_at = now_;
    const int64_t incarnation = member.record.incarnation;
    At(absl::Milliseconds(1 + random_.Below(50)),
       [this, i, sent_at, incarnation] {
         OnArrival(sent_at - members_[i].told_at >= kToldDelay);
         const std::optional<double> limit = limit_;
         At(absl::Milliseconds(20 + random_.Below(400)), [=] {
           Member& sender = members_[i];
           if (sender.limits == nullptr ||
               sender.record.incarnation != incarnation) {
             return;
           }
           sender.limits->OnAnswer(server_, {true, limit}, sent_at, now_);
           if (limit) {
             sender.told_at = std::min(sender.told_at, now_);
           }
         });
       });
  }

  void OnArrival(bool counts) {
    ++total_arrivals_;
    if (!counts || !limit_) {
      return;
    }
    arrivals_.push_back(now_);
    while (now_ - arrivals_.front() >= ServerLimits::kWindow) {
      arrivals_.pop_front();
    }
    if (now_ - named_at_ < ServerLimits::kWindow) {
      return;
    }
    const double allowed = *limit_ * 4 * 1.5 + 5;
    max_excess_ = std::max(max_excess_, arrivals_.size() - allowed);
  }

  void SendHeartbeat(size_t i) {
    Member& member = members_[i];
    member.next_heartbeat_at = now_ + kHeartbeatInterval;
    member.limits->OnTick(now_);
    const std::vector<ServerLimitNotice> notices =
        member.limits->TakeNotices(now_);
    for (size_t j = 0; j < members_.size(); ++j) {
      if (members_[j].is_cut != member.is_cut || random_.Unit() < 0.05) {
        continue;
      }
      At(absl::Milliseconds(1 + random_.Below(80)), [this, j, notices] {
        if (members_[j].limits != nullptr) {
          members_[j].limits->OnNotices(notices, now_);
        }
      });
    }
  }

  base::Random random_;
  ServerLoad server_ = MakeServer("limited");
  absl::Time now_ = absl::FromUnixSeconds(1'000'000);
  std::vector<Member> members_;
  std::multimap<absl::Time, std::function<void()>> events_;
  std::optional<double> limit_;
  absl::Time named_at_ = absl::InfiniteFuture();
  double demand_per_s_ = 20;
  std::deque<absl::Time> arrivals_;
  double max_excess_ = -1e9;
  int total_arrivals_ = 0;
  size_t last_record_count_ = 0;
  bool records_changed_ = true;
};

// Guards against a fleet that sends more than the server takes: each instance
// its own limit, or one token too many in a fleet with many instances.
TEST_CASE("a fleet of any size stays within the limit of a server") {
  for (const int instance_count : {1, 3, 11, 44, 120}) {
    for (const double limit : {0.0, 0.4, 3.0, 12.0, 80.0}) {
      LimitWorld world(instance_count, 7);
      world.Run(absl::Seconds(2));
      world.SetLimit(limit);
      world.Run(absl::Seconds(12));
      INFO(instance_count << " instances, limit " << limit);
      CHECK(world.max_excess() <= 0);
    }
  }
}

// Guards against a limit that is used only in part although all instances have
// more requests than they may send.
TEST_CASE("the limit of a server is used") {
  for (const double limit : {3.0, 12.0, 80.0}) {
    LimitWorld world(11, 3);
    world.SetLimit(limit);
    world.Run(absl::Seconds(6));
    const double arrivals = world.ArrivalsPerS(absl::Seconds(20));
    INFO("limit " << limit);
    CHECK(arrivals >= 0.8 * limit);
    CHECK(arrivals <= 1.1 * limit);
  }
}

// Guards against a bound that holds only while the fleet does not change:
// instances are killed and start again while the limit is in force.
TEST_CASE("restarts do not raise the requests above the limit") {
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    LimitWorld world(12, seed);
    world.SetLimit(2.0 + static_cast<double>(world.random().Below(20)));
    for (int event = 0; event < 12; ++event) {
      world.Run(absl::Seconds(4 * world.random().Unit()));
      const size_t i = world.random().Below(world.size());
      if (world.is_up(i)) {
        world.Kill(i);
      } else {
        world.Launch(i);
      }
    }
    INFO("seed " << seed);
    CHECK(world.max_excess() <= 0);
  }
}

// Guards against two parts of the fleet that each use the whole limit, because
// the records of the other part have expired.
TEST_CASE("a partition does not raise the requests above the limit") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    LimitWorld world(12, seed);
    world.SetLimit(9);
    world.Run(absl::Seconds(6));
    world.Cut([seed](size_t i) { return (i + seed) % 2 == 0; });
    world.Run(absl::Seconds(60));
    world.Heal();
    world.Run(absl::Seconds(10));
    INFO("seed " << seed);
    CHECK(world.max_excess() <= 0);
  }
}

// Guards against instances without a part of the limit, which get no answers,
// that never learn of its end.
TEST_CASE("all instances learn that a limit has ended") {
  LimitWorld world(60, 5);
  world.SetDemand(1);
  world.SetLimit(2);
  world.Run(absl::Seconds(10));
  CHECK(world.ArrivalsPerS(absl::Seconds(8)) <= 3);
  world.SetLimit(std::nullopt);
  world.Run(absl::Seconds(6));
  CHECK(world.ArrivalsPerS(absl::Seconds(4)) >= 45);
}

/// The limits of the only instance of a fleet.
class SingleInstance {
 public:
  SingleInstance()
      : limits("self",
               [this](const BackendServer&, std::optional<double> per_s) {
                 changes.push_back(per_s);
               }) {
    const InstanceRecord self = Instance("self", "a-1", "a");
    limits.SetInstances({self}, {self}, now);
    now += ServerLimits::kStartDelay;
  }

  /// \returns the number of requests that may be sent at this moment.
  int Burst(const ServerLoad& server) {
    int count = 0;
    while (count < 100 && limits.HasToken(server, "a", now)) {
      limits.OnRequestStart(server, now);
      ++count;
    }
    return count;
  }

  absl::Time now = absl::FromUnixSeconds(1'000'000);
  std::vector<std::optional<double>> changes;
  ServerLimits limits;
};

// Guards against an answer that was on its way when the server named its limit,
// and is then taken for the limit's end.
TEST_CASE("only an answer to a later request ends a limit") {
  SingleInstance instance;
  const ServerLoad server = MakeServer("s");
  const absl::Time sent_before = instance.now - absl::Milliseconds(50);
  instance.limits.OnAnswer(server, {true, 3.0}, instance.now, instance.now);
  instance.now += absl::Milliseconds(100);
  instance.limits.OnAnswer(server, {true, {}}, sent_before, instance.now);
  CHECK(instance.limits.count() == 1);
  // An answer whose head could not be read tells nothing.
  instance.limits.OnAnswer(server, {}, instance.now, instance.now);
  CHECK(instance.limits.count() == 1);
  instance.limits.OnAnswer(server, {true, {}}, instance.now, instance.now);
  CHECK(instance.limits.count() == 0);
  CHECK(instance.Burst(server) == 100);
  CHECK(instance.changes ==
        std::vector<std::optional<double>>{3.0, std::nullopt});
}

// Guards against a limit that goes on for the next incarnation of the server,
// and against one that is lost with the server's entry.
TEST_CASE("a limit belongs to an incarnation of the server") {
  SingleInstance instance;
  instance.limits.OnAnswer(MakeServer("s", 1), {true, 1.0}, instance.now,
                           instance.now);
  instance.now += absl::Seconds(1);
  CHECK(instance.Burst(MakeServer("s", 1)) <= 2);
  CHECK(instance.Burst(MakeServer("s", 2)) == 100);
  CHECK(instance.Burst(MakeServer("other")) == 100);
}

// Guards against a process that uses the whole limit before it knows the other
// instances, and against a notice that is older than an own answer.
TEST_CASE("notices of other instances count by their age") {
  SingleInstance instance;
  const ServerLoad server = MakeServer("s");
  const uint32_t key = server.limit_key();
  instance.limits.OnNotices({{key, 2.0, absl::Seconds(1)}}, instance.now);
  CHECK(instance.limits.count() == 1);
  CHECK(instance.Burst(server) == 0);
  // The end was seen before the limit was.
  instance.limits.OnNotices({{key, std::nullopt, absl::Seconds(3)}},
                            instance.now);
  CHECK(instance.limits.count() == 1);
  instance.limits.OnNotices({{key, std::nullopt, absl::ZeroDuration()}},
                            instance.now);
  CHECK(instance.limits.count() == 0);
  // The end is passed on, the older limit is not taken.
  instance.limits.OnNotices({{key, 2.0, absl::Seconds(2)}}, instance.now);
  const auto notices = instance.limits.TakeNotices(instance.now);
  REQUIRE(notices.size() == 1);
  CHECK_FALSE(notices.front().per_s.has_value());
}

// Guards against heartbeats that always name the same limits, and against
// memory that grows with the servers that ever named one.
TEST_CASE("each of many limits is reported, and their number is bounded") {
  SingleInstance instance;
  std::set<uint32_t> reported;
  const size_t limit_count = 3 * Heartbeat::kMaxServerLimits;
  for (size_t i = 0; i < limit_count; ++i) {
    instance.limits.OnAnswer(MakeServer(absl::StrCat("s", i)), {true, 1.0},
                             instance.now, instance.now);
  }
  for (int i = 0; i < 4; ++i) {
    const auto notices = instance.limits.TakeNotices(instance.now);
    CHECK(notices.size() == Heartbeat::kMaxServerLimits);
    for (const ServerLimitNotice& notice : notices) {
      reported.insert(notice.server);
    }
  }
  CHECK(reported.size() == limit_count);
  for (size_t i = 0; i < 2 * ServerLimits::kMaxLimits; ++i) {
    instance.now += absl::Milliseconds(1);
    instance.limits.OnAnswer(MakeServer(absl::StrCat("t", i)), {true, 1.0},
                             instance.now, instance.now);
  }
  CHECK(instance.limits.count() == ServerLimits::kMaxLimits);
}

}  // namespace
}  // namespace baobabwall::gateway
