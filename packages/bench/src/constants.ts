/** Constants of the simulations. Shares are from 0 to 1. */

/** One-way latency between a caller and a node. */
export const CLIENT_LATENCY_MS = 3;
/** One-way latency between nodes of the same data centre. */
export const LOCAL_LATENCY_MS = 0.25;
/** Time after which a connection attempt to an unreachable node fails. */
export const CONNECT_TIMEOUT_MS = 500;
/** Period of the `tick` calls to a gate's admission control. */
export const GATE_TICK_MS = 10;
/** Period at which a node checks the health of its backend server. */
export const HEALTH_CHECK_PERIOD_MS = 1_000;
/** Time that gossip takes to reach all nodes of the fleet. */
export const GOSSIP_SPREAD_MS = 200;
/** Load outside the pressure phase, as a share of the capacity. */
export const NORMAL_LOAD_SHARE = 0.8;
/** Length of the steps in which the recovery time is measured. */
export const RECOVERY_STEP_MS = 100;
/** Share of the offered weight that a recovered fleet answers. */
export const RECOVERED_GOODPUT_SHARE = 0.99;
