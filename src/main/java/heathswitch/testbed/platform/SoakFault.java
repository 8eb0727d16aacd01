package heathswitch.testbed.platform;

/** What goes wrong in a soak. */
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
  /** One balancer's calls for the list are refused, while discovery runs for all others. */
  DISCOVERY_REFUSES_ONE_BALANCER,
  BALANCERS_RECONFIGURED,
  /** The file of a new configuration is read late, or only after it could not be read. */
  BALANCERS_RECONFIGURED_WITH_READ_FAULTS,
  BALANCER_RESTARTED,
  BALANCER_PAUSED,
  CLOCK_STEPPED,
  SYSTEM_CALLS_FAIL,
  IDLE_CONNECTIONS
}
