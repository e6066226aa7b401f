// Command standin runs small programs that take the platform's place in tests and in the local quick start.
package main

func main() {}
