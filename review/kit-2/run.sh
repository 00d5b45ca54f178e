#!/bin/sh
# Runs a case: run.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run,
# whatever the reason. Ends every process that the case started, also if its driver or this script is ended.
root="$(cd "$(dirname "$0")/../.." && pwd)" || exit 2
temp="$(mktemp -d)" || exit 2
driver=
clean() {
    [ -n "$driver" ] && kill "$driver" 2>/dev/null && wait "$driver" 2>/dev/null
    if [ -f "$temp/pids" ]; then
        while read -r pid; do
            # Only a controller of this run: its command names a settings file in this folder.
            if [ -r "/proc/$pid/cmdline" ] && tr '\0' ' ' <"/proc/$pid/cmdline" | grep -qF "$temp/"; then
                kill -9 "$pid" 2>/dev/null
            fi
        done <"$temp/pids"
    fi
    rm -rf "$temp"
}
trap 'clean; exit 2' HUP INT TERM
java -Xmx600m -Drepo="$root" -Dtemp="$temp" -cp "$root/target/review-2" "$1" "$2" &
driver=$!
wait "$driver"
code=$?
driver=
clean
# The driver's own codes, so that an error of the Java program isn't taken for a result.
case "$code" in
    10) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
