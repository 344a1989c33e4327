/** The module of undici that exports only the agent. */
declare module "undici/lib/dispatcher/agent.js" {
  import { Agent } from "undici";

  export default Agent;
}

/** The module of undici that exports only the connector factory. */
declare module "undici/lib/core/connect.js" {
  import { buildConnector } from "undici";

  export default buildConnector;
}
