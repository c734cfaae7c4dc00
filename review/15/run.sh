#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -f target/review-3/LookupCase.class ] || exit 2
exec java -Xmx512m -cp target/agatelane.jar:target/review-3 LookupCase "$here" new
