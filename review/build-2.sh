#!/bin/sh
# Builds the stand-ins and the drivers of the cases 6 to 10 into target/review-2.
# The build of the deploy file must have run: its jar brings the JSON library.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -nowarn -encoding UTF-8 -cp target/agatelane.jar -d target/review-2 review/standins-2/*.java
