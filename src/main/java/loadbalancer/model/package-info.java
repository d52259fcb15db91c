/**
 * Immutable values that cross the borders between packages: endpoints, requests, attempts and
 * settings. No class here knows any other package. All are safe to share between threads.
 */
package loadbalancer.model;
