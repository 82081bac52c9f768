// Command loadtool is part of sequoiaspread.
package main

func main() {}
