#!/usr/bin/env bash
# Kills all processes after a target has deregistered, and delivers a heartbeat of it late.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f review/target/classes/LateHeartbeat.class ] || { echo "review/target/classes/LateHeartbeat.class is missing: run review/build.sh"; exit 2; }
[ -f target/deploy/radishthread.jar ] || { echo "target/deploy/radishthread.jar is missing: run the build of deploy/system.toml"; exit 2; }
timeout 118 java -Xmx256m -cp review/target/classes LateHeartbeat review/4/record.txt
status=$?
[ $status -le 2 ] || status=2
exit $status
