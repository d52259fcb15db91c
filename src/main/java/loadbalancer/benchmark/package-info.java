/**
 * The benchmark, for capacity planning: measures what requests, endpoint changes, full endpoint
 * lists and outages of discovery cost, depending on the length of the list and the number of
 * balancers. It is a separate program and not part of the serving jar.
 */
package loadbalancer.benchmark;
