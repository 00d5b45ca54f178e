#!/bin/sh
# Runs one case: run-case.sh FOLDER CLASS. Needs the deploy file's build and review/build.sh.
# Exit code 1: the rule was broken, 0: it held, 2: the case couldn't run. Ends whatever it started, also when it is ended
# itself by TERM or INT.
cd "$(dirname "$0")/.." || exit 2
[ -f target/hollypick.jar ] && [ -f "review/classes/review/$2.class" ] || exit 2
tmp=$(mktemp -d) || exit 2
java -Xmx1500m -Djava.io.tmpdir="$tmp" -Dreview.pids="$tmp/pids" -Dsun.net.httpserver.nodelay=true \
    -Dsun.net.httpserver.idleInterval=600 -Dsun.net.httpserver.maxIdleConnections=5000 \
    -cp review/classes:target/hollypick.jar "review.$2" "review/$1/record.txt" &
driver=$!
trap 'kill "$driver" 2>/dev/null' INT TERM
wait "$driver"
code=$?
while kill -0 "$driver" 2>/dev/null; do # a signal ended the first wait
    wait "$driver"
    code=$?
done
trap - INT TERM
# The driver ends the controllers; this is for the case that it was killed.
if [ -f "$tmp/pids" ]; then
    while read -r pid; do
        if grep -qa org.hollypick.cli.Main "/proc/$pid/cmdline" 2>/dev/null; then
            kill -9 "$pid" 2>/dev/null
        fi
    done < "$tmp/pids"
fi
rm -rf "$tmp"
# The driver's own codes; a Java program that fails by itself ends with 1.
case $code in
    10) exit 1 ;;
    0) exit 0 ;;
    *) exit 2 ;;
esac
