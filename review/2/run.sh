#!/usr/bin/env bash
# Runs the case. Needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves out the disruption.
set -uo pipefail
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
root="$(cd "$here/../.." && pwd)"
if [ ! -x "$root/target/egretlane" ] || [ ! -x "$root/.bin/reviewlab" ]; then
  echo "not built" >&2
  exit 2
fi
EGRETLANE="$root/target/egretlane" exec "$root/.bin/reviewlab" sync-loss "$here/record.txt"
