/** The settings file that the platform writes for a node. */

/** Ports that the processes on one machine listen on. */
export interface MeshPorts {
  /** Where the node takes calls from other nodes. */
  readonly inbound: number;
  /** Where the node takes plain HTTP of callers and of the backend server. */
  readonly outbound: number;
  /** Where the node answers the platform's readiness check. */
  readonly readiness: number;
  /** Where the backend server listens. */
  readonly application: number;
  /** First of two consecutive ports: the node's control and admin ports. */
  readonly control: number;
}

/** Contents of the settings file of one machine. */
export interface MeshSettings {
  readonly name: string;
  readonly ip: string;
  readonly service: string;
  readonly zone: string;
  readonly zones: readonly string[];
  /** Address of the key-value store, as `IP:PORT`. */
  readonly store: string;
  readonly ports: MeshPorts;
  /** Grace period of a shutdown, in seconds. */
  readonly graceS: number;
}

/**
 * Formats a settings file as TOML. It contains an unknown key, which readers
 * must ignore.
 */
export function formatMeshSettings(settings: MeshSettings): string {
  const { ip, ports } = settings;
  return `
[self]
node_name = "${settings.name}"
ip_address = "${ip}"
zone = "${settings.zone}"
application_address = "${ip}:${ports.application}"
service = "${settings.service}"
something_new = 1
[network]
internal_port_range = [${ports.control}, ${ports.control + 1}]
[network.listen_addresses]
inbound = "${ip}:${ports.inbound}"
outbound = "${ip}:${ports.outbound}"
readiness = "${ip}:${ports.readiness}"
[network.zones]
${settings.zones.map((zone) => `${zone} = "r"`).join("\n")}
[platform.platform]
address = "${settings.store}"
[terms.bounds]
grace_period_s = ${settings.graceS}
retry_budget_ratio = 0.2
retry_budget_slack = 50
budget_window_s = 10
`;
}
