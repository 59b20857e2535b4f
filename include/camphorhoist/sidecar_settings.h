#ifndef CAMPHORHOIST_SIDECAR_SETTINGS_H_
#define CAMPHORHOIST_SIDECAR_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "camphorhoist/fleet_retry_budget.h"
#include "camphorhoist/net_address.h"

namespace camphorhoist {

/// Settings of one sidecar process, in the project's terms.
struct SidecarSettings {
  /// Name of the VM, unique in the deployment.
  std::string node;
  std::string data_centre;
  std::string ip;
  /// Service of the upstream on this VM.
  std::string service;
  /// Address of that upstream; only this VM reaches it.
  NetAddress upstream;
  /// Callers on this VM and the upstream itself send their requests here.
  NetAddress caller_listen;
  NetAddress ready_listen;
  /// The upstream announces itself here.
  NetAddress announce_listen;
  /// Other sidecars connect here. The port is the same on all VMs.
  NetAddress peer_listen;
  std::optional<NetAddress> metrics_listen;
  NetAddress store;
  std::chrono::microseconds announce_interval{};
  /// Time from SIGTERM until the process is killed.
  std::chrono::microseconds grace_period{};
  RetryBudgetOptions retry_budget;
  /// Rate of the VM's link.
  size_t link_bytes_per_second = 0;
};

}  // namespace camphorhoist

#endif  // CAMPHORHOIST_SIDECAR_SETTINGS_H_
