/**
 * Readers of settings: the balancer's settings in the platform's JSON, and the TOML files that
 * operators write. The package reads files only; it uses neither a clock nor threads.
 */
package loadbalancer.settings;
