/**
 * Limits the memory that peers make the process hold. Each kind of memory has one {@link
 * loadbalancer.proxy.memory.MemoryBudget}, which is asked before memory is taken.
 */
package loadbalancer.proxy.memory;
