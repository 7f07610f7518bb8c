#!/bin/bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/review-stand ] && [ -x target/edge ] || { echo "build first: deploy/system.toml, then review/build.sh"; exit 2; }
exec target/review-stand shelf "$folder"
