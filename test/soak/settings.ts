/** Renders a controller's settings file in the form in which the platform provides it. */

export interface ClusterLimits {
  heartbeatS: number;
  leaseS: number;
  gangWaitS: number;
  gangPeerS: number;
  cancelS: number;
  teams: readonly { name: string; cpus: number; cpusMax: number }[];
}

/** The values that are inserted into a controller's settings file. */
export interface ControllerSettings {
  host: string;
  userAddress: string;
  peerAddress: string;
  peers: readonly { name: string; address: string }[];
  state: string;
  cloud: string;
  limits: ClusterLimits;
}

export function settingsOf(controller: ControllerSettings): string {
  const { host, userAddress, peerAddress, state, cloud, limits } = controller;
  const peers = controller.peers.map(
    ({ name, address }) =>
      `[[others]]\nhost_name = "${name}"\nzone = "x"\naddress = "${address}"\n`,
  );
  const teams = limits.teams.map(
    ({ name, cpus, cpusMax }) =>
      `[[settings.teams]]\nname = "${name}"\ncpus = ${String(cpus)}\ncpus_max = ${String(cpusMax)}\n`,
  );
  return `host_name = "${host}"
zone = "x"
serve_on = "${userAddress}"
internal_addr = "${peerAddress}"
${peers.join('')}
[external]
cloud = "${cloud}"
state = "${state}"
[settings]
size = ${String(peers.length + 1)}
zones = ["x", "y"]
clock_error_ms = 100.0
${teams.join('')}
[settings.workers]
report_s = ${String(limits.heartbeatS)}
lease_s = ${String(limits.leaseS)}
gang_wait_s = ${String(limits.gangWaitS)}
gang_peer_s = ${String(limits.gangPeerS)}
cancel_s = ${String(limits.cancelS)}
[settings.state]
rps = 400.0
write_rps = 100.0
value_kb = 4.0
txn_ops = 12
[settings.cloud]
rps = 10.0
list_lag_s = 1.0
[settings.quota]
cpu_share = 1.0
memory_mb = 160.0
max_sockets = 200
`;
}
