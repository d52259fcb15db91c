/**
 * Client connections: the classes read and validate requests, pass them to the {@link
 * loadbalancer.proxy.frontend.RequestDispatcher} one at a time per connection, and write the
 * responses in order. All are used on the event loop thread only; {@code ProxyServer} owns the
 * {@link loadbalancer.proxy.frontend.Frontend}.
 */
package loadbalancer.proxy.frontend;
