/** Reads JSON into Jackson's tree model without its object mapper. May be used on any thread. */
package loadbalancer.proxy.json;
