#ifndef CAMPHORHOIST_SIDECAR_SETTINGS_H_
#define CAMPHORHOIST_SIDECAR_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "camphorhoist/fleet_retry_budget.h"
#include "camphorhoist/net_address.h"
#include "camphorhoist/rollout_policy.h"

namespace camphorhoist {

/// Settings of one sidecar process, independent of the platform's file format.
struct SidecarSettings {
  /// Name of the VM; unique in the deployment.
  std::string node;
  std::string data_centre;
  std::string ip;
  /// Service of the upstream on this VM.
  std::string service;
  /// Address of that upstream; reachable only from this VM.
  NetAddress upstream;
  /// Accepts requests from callers on this VM, including the upstream.
  NetAddress caller_listen;
  /// Accepts the platform's readiness checks.
  NetAddress ready_listen;
  /// Accepts announcements of the upstream.
  NetAddress announce_listen;
  /// Accepts connections from other sidecars. The port is the same on all VMs.
  NetAddress peer_listen;
  std::optional<NetAddress> metrics_listen;
  /// Address of the platform's object store.
  NetAddress store;
  /// Time between two heartbeats of the upstream.
  std::chrono::microseconds announce_interval{};
  /// Time from SIGTERM until the platform kills the process.
  std::chrono::microseconds grace_period{};
  RetryBudgetOptions retry_budget;
  /// Bounds on roll-outs; without them roll-out orders are not read.
  std::optional<RolloutBounds> rollout;
  /// Bandwidth of the VM's network link.
  size_t link_bytes_per_second = 0;
  /// Memory of the VM; 0 if it is not known, and then not limited.
  size_t memory_bytes = 0;
  /// Maximum number of open descriptors of the process; 0 if it is not known, and then not limited.
  size_t max_descriptors = 0;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_SIDECAR_SETTINGS_H_
