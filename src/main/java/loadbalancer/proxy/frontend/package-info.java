/**
 * Client connections: reads and validates requests, passes them to the {@link
 * loadbalancer.proxy.frontend.RequestDispatcher} one at a time per connection, and writes the
 * responses in order. All classes are used on the event loop only; {@code ProxyServer} owns the
 * {@link loadbalancer.proxy.frontend.Frontend}.
 */
package loadbalancer.proxy.frontend;
