// Command plainservice is part of sequoiaspread.
package main

func main() {}
