/**
 * The scale run: what a call, a change, a list, an outage and its end cost, measured over sizes so
 * that a plan can be worked out from slopes. None of it is in the jar that serves.
 */
package loadbalancer.benchmark;
