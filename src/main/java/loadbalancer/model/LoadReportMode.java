package loadbalancer.model;

/** How load reports reach an instance. */
public enum LoadReportMode {
  /** On responses. */
  PIGGYBACK,
  /** In answer to health checks. */
  HEALTH_CHECK,
  /** Not at all. */
  NONE
}
