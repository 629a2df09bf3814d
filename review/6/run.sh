#!/bin/sh
# A target deregisters at a control instance that restarted while it was cut off from all others. TROUBLE=0: without the cut and the restart.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 5 115 java -cp target/review-2/classes:target/deploy/radishthread.jar \
	org.radishthread.platform.faults.DepartureAtRestartedControl review/6/record.txt
