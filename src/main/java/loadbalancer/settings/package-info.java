/** Settings as the platform words them, and the file that operators write for themselves. */
package loadbalancer.settings;
