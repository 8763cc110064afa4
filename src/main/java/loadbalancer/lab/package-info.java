/** The laboratory: experiments over the emulator, their results, comparisons and reports. */
package loadbalancer.lab;
