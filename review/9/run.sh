#!/bin/bash
# Plays the case shapes. Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/egretlane ] && [ -x ../../target/review-lab2 ] || { echo "build the deploy file and review/build-2.sh first"; exit 2; }
exec ../../target/review-lab2 shapes ../../target/egretlane record.txt
