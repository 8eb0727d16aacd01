package heathswitch.testbed.platform;

/** What goes wrong in a soak. */
enum SoakFault {
  DISCOVERY_DOWN,
  DISCOVERY_TURNS_AWAY,
  DISCOVERY_OCCUPIED,
  WATCHES_RESET,
  WATCHES_SILENT,
  SERVER_DRAINS,
  SERVER_JOINS,
  SERVER_DIES,
  SERVER_HANGS,
  SERVER_RESETS,
  /** One balancer's calls for the list are refused, while discovery runs for all others. */
  CUT_OFF,
  RECONFIGURED,
  /** The file of a new configuration is read late, or only after it could not be read. */
  RECONFIGURED_BADLY,
  RESTARTED,
  HELD_UP,
  CLOCK_STEPPED,
  CALLS_FAIL,
  CROWD
}
