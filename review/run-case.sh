#!/bin/sh
# Runs one case: run-case.sh FOLDER CLASS. Needs the deploy file's build and review/build.sh.
cd "$(dirname "$0")/.." || exit 2
[ -f target/hollypick.jar ] && [ -d review/classes ] || exit 2
exec java -Xmx1500m -Dsun.net.httpserver.nodelay=true -Dsun.net.httpserver.idleInterval=600 \
    -Dsun.net.httpserver.maxIdleConnections=5000 -cp review/classes:target/hollypick.jar \
    "review.$2" "review/$1/record.txt"
