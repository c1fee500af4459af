// Command egretctl is part of egretlane.
package main

func main() {
}
