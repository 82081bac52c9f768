// Package orderer decides when a controller may send orders, which load or unload a model, to upstreams. Orders are
// protected by a lease and a fencing token.
//
// At most one controller holds the lease. Its orders carry the lease's fencing token, which increases with every new
// holder. Upstreams that do not check the token are protected by time: an order is sent only if it must end within the
// lease, and a new holder waits until every order of the previous holder must have ended.
package orderer
