// Command egretlab is part of egretlane.
package main

func main() {
}
