// Package orderer decides when a controller may send orders to upstreams, under a lease and a fencing number.
//
// At most one controller holds the lease. Its orders carry the fencing number of the lease, which the agreement never
// repeats or decreases. Pools whose upstreams ignore the number are protected by time: an order is started only if it
// can end within the lease, and a new holder waits until every order of the previous one must have ended.
package orderer
