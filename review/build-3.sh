#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. Needs target/agatelane.jar, which the build of the deploy file makes.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -nowarn -cp target/agatelane.jar -d target/review-3 review/standins-3/*.java
