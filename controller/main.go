// Command controller is part of sequoiaspread.
package main

func main() {}
