// Command gateway is part of sequoiaspread.
package main

func main() {}
