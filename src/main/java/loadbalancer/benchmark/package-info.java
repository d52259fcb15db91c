/**
 * The benchmark: what requests, changes, endpoint lists and outages cost against the sizes of lists
 * and fleets, for capacity planning. It is a program of its own and not part of the serving jar.
 */
package loadbalancer.benchmark;
