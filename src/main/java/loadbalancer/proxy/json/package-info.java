/** Reads JSON into Jackson's tree without its object mapper. Stateless, for any thread. */
package loadbalancer.proxy.json;
