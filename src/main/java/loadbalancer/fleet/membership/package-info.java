/**
 * Who is alive, after SWIM (Das, Gupta, Motivala 2002) with the additions of Lifeguard (Dadgar,
 * Phillips, Currey 2018). Pure logic: time, chance and packets are handed in, packets go out
 * through an interface.
 */
package loadbalancer.fleet.membership;
