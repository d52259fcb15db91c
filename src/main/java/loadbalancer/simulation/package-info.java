/**
 * Runs the policy for a simulator, by a binary protocol: the simulator writes frames of events to
 * standard input and reads one reply with the policy's actions for each from standard output.
 *
 * <p>Single-threaded. One process hosts many policy instances. Time is simulated: each frame gives
 * the time of its events in milliseconds. All numbers are little-endian.
 */
package loadbalancer.simulation;
