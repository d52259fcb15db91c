/**
 * Runs the policy on the simulator's binary protocol: frames of events on standard input, one reply
 * of actions for each on standard output.
 *
 * <p>Single-threaded. One process hosts many instances; time is the clock of each frame, in
 * milliseconds. All numbers are little-endian.
 */
package loadbalancer.simulation;
