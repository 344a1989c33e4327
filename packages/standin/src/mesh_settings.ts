/** The settings file that the users' platform gives a process. */

/** Ports of one machine. */
export interface MeshPorts {
  readonly inbound: number;
  /** Where callers and the backend server send requests. */
  readonly outbound: number;
  readonly readiness: number;
  readonly application: number;
  /** First of two ports for what nodes say to each other. */
  readonly control: number;
}

/** What the settings say of one machine. */
export interface MeshSettings {
  readonly name: string;
  readonly ip: string;
  readonly service: string;
  readonly zone: string;
  readonly zones: readonly string[];
  /** Address of the store. */
  readonly store: string;
  readonly ports: MeshPorts;
  readonly graceS: number;
}

/** Writes a settings file, with a field that nobody knows. */
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
