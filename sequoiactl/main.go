// Command sequoiactl is part of sequoiaspread.
package main

func main() {}
