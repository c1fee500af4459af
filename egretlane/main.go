// Command egretlane is part of egretlane.
package main

func main() {
}
