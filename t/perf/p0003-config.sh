#!/bin/sh
# Usage: p0003-config.sh [PROCESSES] [CHANGES] [SECONDS]
# Measures the distribution of the configuration to real processes in three
# data centres.  A sixth of them are entries, the others agents; one process
# runs all engines.  Prints a JSON line for single changes, one for CHANGES
# over SECONDS, and one for a change while half of the watchers are killed.

test_description='distribution of the configuration'

. "$(dirname "$0")/../test-lib.sh"
. "$TOP/t/fleet-lib.sh"

PROCESSES=${1:-260}
CHANGES=${2:-1200}
SECONDS_LONG=${3:-120}
ENGINE_OPTIONS="--fencing --slots 8 --token-ms 2"
FLEET_THREADS=2
FLEET_SEEDS="\"$(fleet_net 1).11\",\"$(fleet_net 2).11\",\"$(fleet_net 3).11\""

fleet_platform_start
count=0
engines=
while test $count -lt $PROCESSES; do
	dc=$((count % 3 + 1))
	address=$(fleet_net $dc).$((count / 3 + 11))
	if test $((count / 3 % 6)) = 0; then
		entry_start e$count dc$dc $address
	else
		agent_start a$count dc$dc $address
		engines="$engines $address"
	fi
	count=$((count + 1))
done
engines_start engines $engines
fleet_publish_instances
python3 "$TOP/t/perf/config_spread.py" "$PLATFORM_URL" "$CHANGES" \
	"$SECONDS_LONG"
status=$?
stop_all
exit $status
