#!/bin/sh
# Builds the stand-ins of the second review, and those of the project that they use, into target/review-2.
set -eu
cd "$(dirname "$0")/.."
faults=platform/src/test/java/org/radishthread/platform/faults
mkdir -p target/review-2/classes
javac -nowarn -d target/review-2/classes -cp target/deploy/radishthread.jar \
	"$faults/Deployment.java" "$faults/Instance.java" "$faults/Release.java" "$faults/RunLog.java" \
	"$faults/PeerNetwork.java" "$faults/ProxiedConnection.java" "$faults/SettingsTemplate.java" \
	review/standin-2/*.java
