// Package estimator estimates the load of each upstream from lagging reports and from the sends made since.
//
// Work is counted in tokens: the part of a prompt that is not expected in the prefix cache, and the expected
// decode length of the request's class. Sends of other VMs since the last report are estimated from the own ones,
// so that several VMs do not all choose the upstream that last looked idle.
package estimator
