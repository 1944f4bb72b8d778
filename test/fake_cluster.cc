#include "fake_cluster.h"

#include <algorithm>
#include <ctime>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"

namespace baobabwall::test {
namespace {

absl::Duration ThreadCpuTime() {
  timespec time = {};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return absl::DurationFromTimespec(time);
}

}  // namespace

FakeCluster::FakeCluster(uint64_t seed)
    : store_(&queue_, seed), network_(&queue_, seed + 1), random_(seed + 2) {}

FakeCluster::~FakeCluster() = default;

FakeCluster::Process& FakeCluster::Start(const std::string& name,
                                         const std::string& zone) {
  ++last_address_number_;
  auto process = std::make_shared<Process>();
  control::Identity& identity = process->identity;
  identity.id = {name, absl::ToUnixMillis(queue_.now())};
  identity.zone = zone;
  identity.region = zone.substr(0, zone.find('-'));
  identity.address = absl::StrCat("10.0.", last_address_number_ / 250, ".",
                                  last_address_number_ % 250 + 1);
  identity.caller_port = 8080;
  identity.peer_port = 9090;
  process->node = control::Node::Builder(identity)
                      .Seed(random_.Below(1'000'000'000))
                      .Peers(peers)
                      .Snapshots(snapshot_policy)
                      .Build();
  process->snapshot = std::make_shared<steer::Snapshot>();
  processes_[name] = process;
  listed_instances_[name] = {identity, false};
  listed_instances_[name].identity.id.incarnation = 0;
  network_.Attach(identity,
                  [this, weak_process = std::weak_ptr<Process>(process)](
                      const control::PeerMessage& message) {
                    if (const auto receiver = weak_process.lock()) {
                      Deliver(receiver, message);
                    }
                  });
  queue_.After(control::kTickInterval * random_.Unit(),
               [this, process] { Tick(process); });
  return *process;
}

void FakeCluster::Kill(const std::string& name) {
  const auto process = processes_.at(name);
  network_.Detach(process->identity);
  processes_.erase(name);
  process->node = nullptr;
  queue_.After(list_lag, [this, name] {
    if (processes_.count(name) == 0) {
      listed_instances_.erase(name);
    }
  });
}

void FakeCluster::Pause(const std::string& name, absl::Duration duration) {
  const auto process = processes_.at(name);
  process->is_paused = true;
  queue_.After(duration, [this, process] {
    process->is_paused = false;
    const std::vector<control::Event> queued_events =
        std::move(process->queued_events);
    process->queued_events.clear();
    for (const control::Event& event : queued_events) {
      Deliver(process, event);
    }
  });
}

void FakeCluster::Tick(const std::shared_ptr<Process>& process) {
  if (process->node == nullptr) {
    return;
  }
  if (!process->is_paused) {
    Deliver(process, control::Tick());
  }
  queue_.After(control::kTickInterval, [this, process] { Tick(process); });
}

void FakeCluster::Handle(const std::string& name, const control::Event& event) {
  Deliver(processes_.at(name), event);
}

void FakeCluster::Deliver(const std::shared_ptr<Process>& process,
                          const control::Event& event) {
  if (process->node == nullptr) {
    return;
  }
  if (process->is_paused) {
    process->queued_events.push_back(event);
    return;
  }
  const absl::Duration start = ThreadCpuTime();
  const control::Actions actions = process->node->Handle(event, queue_.now());
  process->cpu += ThreadCpuTime() - start;
  const int64_t revision = process->node->configuration().revision();
  process->has_reverted =
      process->has_reverted || revision < process->highest_revision;
  process->highest_revision = std::max(process->highest_revision, revision);
  for (const control::Action& action : actions) {
    Execute(process, action);
  }
}

void FakeCluster::Execute(const std::shared_ptr<Process>& process,
                          const control::Action& action) {
  if (const auto* call = std::get_if<control::StoreCall>(&action)) {
    store_.Start(*call, !is_cut_from_store[process->identity.id.name],
                 [this, process](const control::StoreAnswer& answer) {
                   Deliver(process, answer);
                 });
  } else if (const auto* send = std::get_if<control::SendPeer>(&action)) {
    network_.Send(process->identity, *send);
  } else if (const auto* publish =
                 std::get_if<control::PublishSnapshot>(&action)) {
    process->snapshot = publish->snapshot;
  } else if (const auto* answer =
                 std::get_if<control::WriteAnswered>(&action)) {
    writes_[answer->id].is_answered = true;
    writes_[answer->id].answer = *answer;
  } else if (std::holds_alternative<control::ReadInstanceList>(action)) {
    control::ListRead read;
    for (const auto& [name, listed] : listed_instances_) {
      if (is_list_empty) {
        break;
      }
      read.list.instances.push_back(listed);
    }
    queue_.After(absl::Milliseconds(5),
                 [this, process, read] { Deliver(process, read); });
  }
  if (action_hook) {
    action_hook(*process, action);
  }
}

size_t FakeCluster::Send(const std::string& name, model::ChangeBatch batch) {
  const size_t index = writes_.size();
  writes_.push_back({batch.operation_id, false, {}});
  control::WriteRequested request;
  request.id = index;
  request.batch = std::move(batch);
  Handle(name, request);
  return index;
}

}  // namespace baobabwall::test
