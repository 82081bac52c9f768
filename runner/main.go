// Command runner is part of sequoiaspread.
package main

func main() {}
