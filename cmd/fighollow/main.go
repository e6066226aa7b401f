// Command fighollow runs the processes of the serving system and the operators' commands.
package main

func main() {}
