// Command wigeonspringd is the node daemon.
package main

func main() {}
