/**
 * Settings: those of a balancer as the platform writes them, and the TOML files that operators
 * write. Reading only; no clock and no threads in here.
 */
package loadbalancer.settings;
