#!/bin/sh
# Builds the stand-ins that the cases start. Needs target/hollypick.jar, the result of the deploy file's build command.
set -e
cd "$(dirname "$0")/.."
rm -rf review/classes
mkdir -p review/classes
javac -nowarn -d review/classes -cp target/hollypick.jar $(find review -name '*.java')
