// Command controller runs one member of the consensus group that replicates documents, leases and record views. It also
// runs a member of the record group of its availability zone, sends model orders to the engines, stores service-level
// buckets and serves the HTTP interface for operators.
package main
