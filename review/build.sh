#!/bin/sh
# Builds the stand-ins and the cases. Needs target/agatelane.jar, which the build of the deploy file makes.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/target
javac -nowarn -d review/target -cp target/agatelane.jar review/standins/*.java
