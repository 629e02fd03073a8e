// Command lemonarch is the operator's desk.
package main

func main() {}
