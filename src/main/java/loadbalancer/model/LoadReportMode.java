package loadbalancer.model;

/** How an instance receives the load reports of endpoints. */
public enum LoadReportMode {
  /** In the headers of responses. */
  PIGGYBACK,
  /** In the responses to health checks. */
  HEALTH_CHECK,
  /** Not at all. */
  NONE
}
