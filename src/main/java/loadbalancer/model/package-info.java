/**
 * Immutable values that the packages exchange: endpoints, requests, attempt results and settings.
 * The classes here depend on no other package and are thread-safe.
 */
package loadbalancer.model;
