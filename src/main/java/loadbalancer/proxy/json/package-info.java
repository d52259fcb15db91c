/** Reads JSON into Jackson's tree model without its object mapper. Stateless. */
package loadbalancer.proxy.json;
