// Command pearshelf-bench runs a whole deployment on loopback and measures it.
package main

func main() {}
