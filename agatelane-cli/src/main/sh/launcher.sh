#!/bin/sh
exec java ${AGATELANE_JAVA_OPTS:--Xmx384m -XX:+UseG1GC} -jar "$0" "$@"
