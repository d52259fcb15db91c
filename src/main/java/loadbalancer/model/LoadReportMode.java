package loadbalancer.model;

/** How an instance receives the load reports of endpoints. */
public enum LoadReportMode {
  /** In a header of the responses to requests. */
  PIGGYBACK,
  /** In the responses to health checks. */
  HEALTH_CHECK,
  /** Not at all. */
  NONE
}
