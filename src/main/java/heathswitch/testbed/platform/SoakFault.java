package heathswitch.testbed.platform;

/** The kinds of faults that a soak test injects. */
enum SoakFault {
  DISCOVERY_DOWN,
  DISCOVERY_REJECTS_CALLS,
  DISCOVERY_BUSY,
  WATCHES_RESET,
  WATCHES_SILENT,
  SERVER_DRAINS,
  SERVER_JOINS,
  SERVER_DIES,
  SERVER_HANGS,
  SERVER_RESETS,
  /** Discovery refuses the connections of one balancer and serves all others. */
  DISCOVERY_REFUSES_ONE_BALANCER,
  BALANCERS_RECONFIGURED,
  /** Reads of a new configuration file are delayed, or fail at first. */
  BALANCERS_RECONFIGURED_WITH_READ_FAULTS,
  BALANCER_RESTARTED,
  BALANCER_PAUSED,
  CLOCK_STEPPED,
  SYSTEM_CALLS_FAIL,
  IDLE_CONNECTIONS
}
